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
  /** Submits a job of which most tasks wait for room for many seconds. */
  sendWide(): void;
  /** Asks for the states of these jobs, also of those without an answer. */
  showWide(): Promise<void>;
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
/** Of a first step of small tasks, which uses most of the workers. */
const FIRST_TASKS = 16;
/** Some twelve seconds of work for all workers. */
const WIDE_TASKS = 96;
const WIDE_WORK_MS = 2_000;

/** Creates the stream; all that it draws follows from the seed. */
export function createJobStream(
  cell: emulatedCell.EmulatedCell,
  queue: string,
  seed: number,
): JobStream {
  const {clock, model} = cell;
  const random = types.random.createRandom(seed + 1);
  const wideRandom = types.random.createRandom(seed + 2);
  const jobs: jobCatalog.JobSpec[] = [];
  const wideJobs: jobCatalog.JobSpec[] = [];
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
    const jobId = drawId(random);
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
    return createJobOf(jobId, [step]);
  }

  function createWideJob(): jobCatalog.JobSpec {
    const rest = {gang: false, lasting: false, savesProgress: false};
    const sizeOf = (cpuMillis: number) => ({
      cpuMillis,
      memoryMb: 128,
      accelerators: 0,
    });
    const first = {
      ...rest,
      taskCount: FIRST_TASKS,
      size: sizeOf(SMALL_CPU_MILLIS),
      workMs: wideRandom.integer(50, 300),
      after: [],
    };
    const wide = {
      ...rest,
      taskCount: WIDE_TASKS,
      size: sizeOf(LARGE_CPU_MILLIS),
      workMs: WIDE_WORK_MS,
      after: [0],
    };
    return createJobOf(drawId(wideRandom), [first, wide]);
  }

  function createJobOf(
    jobId: string,
    steps: readonly jobCatalog.StepSpec[],
  ): jobCatalog.JobSpec {
    const organisations = model.organisations();
    const organisation = organisations[jobs.length % organisations.length];
    return {
      jobId,
      queue,
      payload: jobId,
      steps,
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
    sendWide() {
      const job = createWideJob();
      jobs.push(job);
      wideJobs.push(job);
      pending.push(submit(job, clients.at(-1)!, undefined));
    },
    async showWide() {
      await Promise.all(wideJobs.map((job) => clients.at(-1)!.stateOf(job)));
    },
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

function drawId(random: types.random.Random): string {
  const digit = () => random.integer(0, MAX_HEX_DIGIT).toString(16);
  return Array.from({length: ID_DIGITS}, digit).join('');
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
