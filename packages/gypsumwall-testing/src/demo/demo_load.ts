/** Sends the demo's mixed work for a number of seconds. */
import * as timers from 'node:timers/promises';
import type * as types from '@gypsumwall/types';
import type * as entryClient from '../entry_client.js';
import type * as historyEvent from '../history_event.js';
import type * as waitForJobs from '../wait_for_jobs.js';
import type * as launchCell from '../launch_cell.js';
import type * as workload from '../workload.js';

/** Options of the load. */
export interface DemoLoadOptions {
  readonly cell: launchCell.Cell;
  readonly work: workload.Workload;
  readonly seconds: number;
  readonly random: types.random.Random;
}

/** Counters of the running load. */
export interface DemoProgress {
  sent: number;
  answered: number;
  done: number;
  accepted: number;
}

/** The calls sent for one class. */
export interface SentClass {
  readonly name: string;
  readonly kind: 'request' | 'job';
  readonly callIds: string[];
}

/** A running load. */
export interface DemoLoad {
  readonly progress: Readonly<DemoProgress>;
  readonly classes: readonly SentClass[];
  readonly jobs: readonly waitForJobs.AcceptedJob[];
  /** Resolves when everything is sent and every caller has an outcome. */
  readonly finished: Promise<void>;
}

/** Starts sending the load. */
export function startDemoLoad(options: DemoLoadOptions): DemoLoad {
  const {cell, work, random} = options;
  const until = performance.now() + options.seconds * 1_000;
  const progress = {sent: 0, answered: 0, done: 0, accepted: 0};
  const jobs: waitForJobs.AcceptedJob[] = [];
  const classes: SentClass[] = [];

  const pickClient = (): entryClient.EntryClient => {
    const entries = cell.entries();
    const entry = entries[random.integer(0, entries.length - 1)];
    if (entry === undefined) throw new Error('no entry is running');
    return entry.client;
  };
  const pickOtherClient = (first: entryClient.EntryClient) => {
    const second = pickClient();
    return second.entryId === first.entryId ? pickClient() : second;
  };
  const tokenOf = (team: string): string =>
    cell.options.tokens.teams[team] ?? '';
  const countOutcome = (
    outcome: historyEvent.RequestOutcome | historyEvent.JobOutcome,
  ) => {
    progress.answered += 1;
    if (outcome.type === 'done') progress.done += 1;
    if (outcome.type === 'accepted') progress.accepted += 1;
  };
  const addClass = (name: string, kind: SentClass['kind']): SentClass => {
    const added = {name, kind, callIds: []};
    classes.push(added);
    return added;
  };
  const nextId = (sent: SentClass): string => {
    const callId = `${sent.name} ${sent.callIds.length + 1}`;
    sent.callIds.push(callId);
    progress.sent += 1;
    return callId;
  };

  const sendRequest = async (
    cls: workload.RequestClass,
    sent: SentClass,
    repeatClass: SentClass | undefined,
  ): Promise<void> => {
    const callId = nextId(sent);
    const {team, operation, workMs, answerBytes} = cls;
    const body = Buffer.from(
      JSON.stringify({workMs, answerBytes, nonce: callId}),
    );
    const key = `key of ${callId}`.replaceAll(' ', '-');
    const token = tokenOf(team);
    const req = {callId, token, team, operation, key, body};
    const first = pickClient();
    const calls = [first.request(req)];
    if (repeatClass !== undefined) {
      const second = {...req, callId: nextId(repeatClass)};
      calls.push(pickOtherClient(first).request(second));
    }
    for (const outcome of await Promise.all(calls)) countOutcome(outcome);
  };

  const submitJob = async (
    cls: workload.JobClass,
    sent: SentClass,
  ): Promise<void> => {
    const callId = nextId(sent);
    const {team, shape, urgency, size, estimateMs, args, deadlineMs} = cls;
    const token = tokenOf(team);
    const outcome = await pickClient().submit({
      callId,
      token,
      team,
      label: callId,
      key: callId.replaceAll(' ', '-').replaceAll(/[()]/g, ''),
      spec: {
        shape,
        jobClass: cls.class,
        urgency,
        size,
        estimateMs,
        ...(deadlineMs === undefined
          ? {}
          : {deadline: new Date(Date.now() + deadlineMs).toISOString()}),
        work: {command: cls.class, args: {...args, label: callId}},
      },
    });
    countOutcome(outcome);
    if (outcome.type !== 'accepted') return;
    jobs.push({jobId: outcome.jobId, token, kind: shape.kind});
  };

  /** Sends at random times, `perSecond` on average. */
  const sendAtAverageRate = async (
    perSecond: number,
    send: () => Promise<void>,
  ): Promise<void> => {
    const inFlight: Array<Promise<void>> = [];
    for (;;) {
      const delayMs = (-Math.log(1 - random.next()) / perSecond) * 1_000;
      if (performance.now() + delayMs > until) break;
      await timers.setTimeout(delayMs);
      inFlight.push(send());
    }
    await Promise.all(inFlight);
  };

  const requests = work.requests.map((cls) => {
    const sent = addClass(cls.class, 'request');
    const repeatClass = cls.twice
      ? addClass(`${cls.class}, again`, 'request')
      : undefined;
    return sendAtAverageRate(cls.perSecond, () =>
      sendRequest(cls, sent, repeatClass),
    );
  });
  const submissions = work.jobs.map(async (cls) => {
    const sent = addClass(cls.class, 'job');
    for (let n = 0; n < (cls.count ?? 0); n += 1) await submitJob(cls, sent);
    const {perSecond} = cls;
    if (perSecond === undefined) return;
    await sendAtAverageRate(perSecond, () => submitJob(cls, sent));
  });
  const finished = Promise.all([...requests, ...submissions]).then(() => {});
  return {progress, classes, jobs, finished};
}
