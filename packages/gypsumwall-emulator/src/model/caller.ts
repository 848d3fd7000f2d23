/** Callers, which submit jobs, query their state and cancel them, with retries. */
import * as types from '@gypsumwall/types';
import type * as balancer from './balancer.js';
import type * as history from './history.js';
import type * as jobCatalog from './job_catalog.js';

/** The answer of an entry to one try of a call. */
export type CallAnswer =
  | {readonly type: 'ok'; readonly state: history.JobState | undefined}
  /** The entry did nothing. */
  | {readonly type: 'refused'}
  /** The entry does not know the caller's key. */
  | {readonly type: 'unauthorised'}
  /** The entry knows no such job or queue. */
  | {readonly type: 'absent'}
  /** No answer, or one that leaves open whether the call took effect. */
  | {readonly type: 'unknown'};

/** Kinds of calls about a job. */
export type CallKind = 'submit' | 'state' | 'cancel';

/** Sends one try of a call to one entry. */
export type SendCall = (
  entry: string,
  kind: CallKind,
  job: jobCatalog.JobSpec,
  timeoutMs: number,
  key: string | undefined,
) => Promise<CallAnswer>;

/** The callers of a platform. */
export interface Callers {
  submit(job: jobCatalog.JobSpec): Promise<'accepted' | 'refused' | 'unknown'>;
  /** Resolves to undefined if no entry returned a state. */
  stateOf(job: jobCatalog.JobSpec): Promise<history.JobState | undefined>;
  /** Resolves to whether an entry acknowledged the cancellation. */
  cancel(job: jobCatalog.JobSpec): Promise<boolean>;
}

/** Options of {@link createCallers}. */
export interface CallersOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly history: history.History;
  readonly catalog: jobCatalog.JobCatalog;
  readonly balancer: balancer.Balancer;
  readonly send: SendCall;
  /** The key that callers of an organisation send. */
  readonly keyOf: (organisation: string) => string | undefined;
  /** Time limit for a call with all its tries. */
  readonly patienceMs: number;
  readonly attempts: number;
  readonly retryPauseMs: number;
}

const CALLER_COUNT = 1_000;

/** Creates the callers. */
export function createCallers(options: CallersOptions): Callers {
  const {clock, random, history: eventHistory} = options;

  /** Tries a call until an answer is conclusive; returns all answers. */
  async function sendWithRetries(
    kind: CallKind,
    job: jobCatalog.JobSpec,
  ): Promise<readonly CallAnswer[]> {
    const callerNumber = random.integer(0, CALLER_COUNT);
    const deadline = types.clock.after(clock.monotonic(), options.patienceMs);
    const answers: CallAnswer[] = [];
    for (let nth = 0; nth < options.attempts; nth++) {
      const timeoutMs = deadline - clock.monotonic();
      if (timeoutMs <= 0) break;
      const entry = options.balancer.pick(callerNumber, nth);
      const {organisation} = job;
      const key = organisation && options.keyOf(organisation);
      const sentAt = clock.monotonic();
      const answer = await options.send(entry, kind, job, timeoutMs, key);
      answers.push(answer);
      recordKeyUse(key, sentAt, answer);
      if (isFinal(answer)) break;
      await types.clock.sleepFor(clock, options.retryPauseMs);
    }
    return answers;
  }

  function recordKeyUse(
    key: string | undefined,
    sentAt: types.clock.MonotonicMs,
    answer: CallAnswer,
  ): void {
    if (key === undefined) return;
    if (answer.type !== 'ok' && answer.type !== 'unauthorised') return;
    const isAccepted = answer.type === 'ok';
    eventHistory.record({type: 'key_used', key, sentAt, isAccepted});
  }

  async function submit(
    job: jobCatalog.JobSpec,
  ): Promise<'accepted' | 'refused' | 'unknown'> {
    options.catalog.add(job);
    eventHistory.record({type: 'job_sent', job});
    const answers = await sendWithRetries('submit', job);
    const told = summarizeAnswers(answers);
    eventHistory.record({type: 'job_told', jobId: job.jobId, told});
    return told;
  }

  return {
    submit,
    async stateOf(job) {
      const {jobId} = job;
      const lastAnswer = (await sendWithRetries('state', job)).at(-1);
      const state =
        lastAnswer?.type === 'absent' ? 'absent' : extractState(lastAnswer);
      if (state !== undefined)
        eventHistory.record({type: 'state_shown', jobId, state});
      return state;
    },
    async cancel(job) {
      const {jobId} = job;
      eventHistory.record({type: 'cancel_sent', jobId});
      const lastAnswer = (await sendWithRetries('cancel', job)).at(-1);
      const isAcknowledged =
        lastAnswer?.type === 'ok' || lastAnswer?.type === 'absent';
      if (isAcknowledged)
        eventHistory.record({type: 'cancel_acknowledged', jobId});
      return isAcknowledged;
    },
  };
}

function isFinal(answer: CallAnswer): boolean {
  switch (answer.type) {
    case 'ok':
    case 'absent':
    case 'unauthorised':
      return true;
    case 'refused':
    case 'unknown':
      return false;
  }
}

function extractState(
  answer: CallAnswer | undefined,
): history.JobState | undefined {
  return answer?.type === 'ok' ? answer.state : undefined;
}

/** A job counts as refused, and must never run, if every try was refused. */
function summarizeAnswers(
  answers: readonly CallAnswer[],
): 'accepted' | 'refused' | 'unknown' {
  if (answers.some((answer) => answer.type === 'ok')) return 'accepted';
  const isRefused = answers.every(
    ({type}) =>
      type === 'refused' || type === 'absent' || type === 'unauthorised',
  );
  return isRefused ? 'refused' : 'unknown';
}
