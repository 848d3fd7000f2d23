/** The jobs of a campaign, and the callers that submit them. */
import * as types from '@gypsumwall/types';
import type * as balancers from '../model/balancer.js';
import * as callers from '../model/caller.js';
import type * as jobCatalog from '../model/job_catalog.js';
import type * as emulatedCell from '../rig/emulated_cell.js';

/** A caller's try of a call and its answer. */
export interface ObservedTry {
  readonly jobId: string;
  readonly kind: callers.CallKind;
  readonly entry: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly answer: callers.CallAnswer['type'];
}

/** Jobs and callers of a campaign. */
export interface JobStream {
  /** Submits a new job. */
  sendOne(): void;
  /** Submits jobs at intervals until aborted. */
  sendPeriodically(intervalMs: number, stop: AbortSignal): Promise<void>;
  /** Resolves to all submitted jobs once each submission has its result. */
  settled(): Promise<readonly jobCatalog.JobSpec[]>;
  readonly tries: readonly ObservedTry[];
}

const ID_DIGITS = 16;
const MAX_HEX_DIGIT = 15;
const MAX_CALLER = 1_000;
/** Callers differ in how often they try. */
const ATTEMPTS = [1, 2, 5];
const PATIENCE_MS = 3_000;
const RETRY_PAUSE_MS = 100;
/** This share of the accepted jobs is submitted once more, up to 5 s later. */
const REPEATED_SHARE = 0.02;
const MAX_REPEAT_DELAY_MS = 5_000;
const SMALL_CPU_MILLIS = 250;
/** Too large for every worker while workers are small. */
const LARGE_CPU_MILLIS = 8_000;
const LARGE_SHARE = 0.05;

/** Creates the stream; all that it draws follows from the seed. */
export function createJobStream(
  cell: emulatedCell.EmulatedCell,
  queue: string,
  seed: number,
): JobStream {
  const {clock, model} = cell;
  const random = types.random.createRandom(seed + 1);
  const jobs: jobCatalog.JobSpec[] = [];
  const pending: Promise<unknown>[] = [];
  const tries: ObservedTry[] = [];
  const balancer = createStickyBalancer(cell);

  const keyOf = (organisation: string) =>
    model.organisations().find(({name}) => name === organisation)?.keys[0];

  const send: callers.SendCall = async (entry, kind, job, timeoutMs, key) => {
    const sentAt = clock.monotonic();
    const answer = await cell.send(entry, kind, job, timeoutMs, key);
    const answeredAt = clock.monotonic();
    const {jobId} = job;
    const {type} = answer;
    tries.push({jobId, kind, entry, sentAt, answeredAt, answer: type});
    return answer;
  };
  const clients = ATTEMPTS.map((attempts) =>
    callers.createCallers({
      clock,
      random,
      history: model.history,
      catalog: model.catalog,
      balancer,
      send,
      keyOf,
      patienceMs: PATIENCE_MS,
      attempts,
      retryPauseMs: RETRY_PAUSE_MS,
    }),
  );

  function createJob(): jobCatalog.JobSpec {
    const digit = () => random.integer(0, MAX_HEX_DIGIT).toString(16);
    const jobId = Array.from({length: ID_DIGITS}, digit).join('');
    const isLarge = random.next() < LARGE_SHARE;
    const cpuMillis = isLarge ? LARGE_CPU_MILLIS : SMALL_CPU_MILLIS;
    const step = {
      taskCount: random.integer(1, 2),
      size: {cpuMillis, memoryMb: 128, accelerators: 0},
      workMs: random.integer(50, 300),
      after: [],
      gang: false,
      lasting: false,
      savesProgress: false,
    };
    const organisations = model.organisations();
    const organisation = organisations[jobs.length % organisations.length];
    return {
      jobId,
      queue,
      payload: jobId,
      steps: [step],
      ...(organisation !== undefined && {organisation: organisation.name}),
    };
  }

  async function submit(
    job: jobCatalog.JobSpec,
    client: callers.Callers,
    repeatAfterMs: number | undefined,
  ): Promise<void> {
    const told = await client.submit(job);
    if (told !== 'accepted' || repeatAfterMs === undefined) return;
    await types.clock.sleepFor(clock, repeatAfterMs);
    const key = job.organisation && keyOf(job.organisation);
    const entry = balancer.pick(0, jobs.length);
    await send(entry, 'submit', job, PATIENCE_MS, key);
  }

  function sendOne(): void {
    const job = createJob();
    const client = clients[random.integer(0, clients.length - 1)]!;
    const delayMs = random.integer(0, MAX_REPEAT_DELAY_MS);
    const isRepeated = random.next() < REPEATED_SHARE;
    jobs.push(job);
    pending.push(submit(job, client, isRepeated ? delayMs : undefined));
  }

  return {
    sendOne,
    tries,
    async sendPeriodically(intervalMs, stop) {
      while (!stop.aborted) {
        sendOne();
        await types.clock.sleepFor(clock, intervalMs, stop);
      }
    },
    async settled() {
      await Promise.all(pending);
      return jobs;
    },
  };
}

/**
 * Keeps the callers on their entries until the entry's process is gone; retries
 * reach other entries.
 */
function createStickyBalancer(
  cell: emulatedCell.EmulatedCell,
): balancers.Balancer {
  const assigned = new Map<number, string>();
  const isRunning = (name: string | undefined) =>
    cell.entries.some((entry) => entry.name === name && entry.isRunning());
  return {
    listReady: () => cell.balancer.listReady(),
    stop: () => undefined,
    pick(caller, attempt) {
      const number = caller % MAX_CALLER;
      const current = assigned.get(number);
      if (attempt === 0 && current !== undefined && isRunning(current)) {
        return current;
      }
      const chosen = cell.balancer.pick(number, attempt);
      assigned.set(number, chosen);
      return chosen;
    },
  };
}
