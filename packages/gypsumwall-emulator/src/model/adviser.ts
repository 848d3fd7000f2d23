/**
 * The adviser: the service that decides which workers may run a step. It
 * handles one call of each caller at a time, always decides the same way for a
 * step and a worker, and issues tickets that expire.
 */
import * as crypto from 'node:crypto';
import * as types from '@gypsumwall/types';

/** The adviser's policy for one queue. */
export interface AdvicePolicy {
  readonly callMs: number;
  readonly perWorkerMs: number;
  /** How long a ticket is valid. */
  readonly validMs: number;
}

/** The answer to a call. */
export type AdviceAnswer =
  | {
      readonly type: 'approved';
      /** Pairs of a worker's id and its ticket. */
      readonly tickets: readonly (readonly [string, string])[];
      readonly validMs: number;
    }
  /** Too many calls of the caller are waiting. */
  | {readonly type: 'throttled'}
  | {readonly type: 'invalid'; readonly message: string};

/** Approves workers for steps and checks the tickets. */
export interface Adviser {
  /** Whether tasks of the queue need a ticket to start. */
  needsTicket(queue: string): boolean;
  /** Asks which of the workers may run the step. */
  ask(
    caller: string,
    stepRunId: string,
    workerIds: readonly string[],
  ): Promise<AdviceAnswer>;
  acceptsTicket(ticket: string, stepRunId: string, workerId: string): boolean;
}

/** Options of {@link createAdviser}. */
export interface AdviserOptions {
  readonly clock: types.clock.Clock;
  readonly seed: number;
  /** Share of the workers that may not run a step. */
  readonly refusedShare: number;
  /** Policies by queue; tasks of other queues need no ticket. */
  readonly policies: ReadonlyMap<string, AdvicePolicy>;
  readonly findQueue: (stepRunId: string) => string | undefined;
}

const MAX_WAITING_CALLS = 32;
const MAX_WORKERS_PER_CALL = 100;

/** Creates the adviser. */
export function createAdviser(options: AdviserOptions): Adviser {
  const {clock, policies, seed} = options;
  /** For each caller, the end of its last call and the number of waiting calls. */
  const callQueues = new Map<string, {last: Promise<void>; waiting: number}>();
  const validUntil = new Map<string, types.clock.MonotonicMs>();

  function mayRun(stepRunId: string, workerId: string): boolean {
    const digest = crypto
      .createHash('sha1')
      .update(`${seed} ${stepRunId} ${workerId}`)
      .digest();
    const random = types.random.createRandom(digest.readInt32BE(0));
    return random.next() >= options.refusedShare;
  }

  function issueTicket(
    stepRunId: string,
    workerId: string,
    validMs: number,
  ): readonly [string, string] {
    const ticket = `${stepRunId}/${workerId}`;
    validUntil.set(ticket, types.clock.after(clock.monotonic(), validMs));
    return [workerId, ticket];
  }

  /**
   * Waits until the caller's earlier calls and this one have taken their time.
   * Returns false if too many calls are waiting.
   */
  async function waitForTurn(
    caller: string,
    durationMs: number,
  ): Promise<boolean> {
    const callQueue = callQueues.get(caller) ?? {
      last: Promise.resolve(),
      waiting: 0,
    };
    callQueues.set(caller, callQueue);
    if (callQueue.waiting >= MAX_WAITING_CALLS) return false;
    callQueue.waiting += 1;
    const turn = callQueue.last.then(() =>
      types.clock.sleepFor(clock, durationMs),
    );
    callQueue.last = turn;
    await turn;
    callQueue.waiting -= 1;
    return true;
  }

  return {
    needsTicket: (queue) => policies.has(queue),
    async ask(caller, stepRunId, workerIds) {
      const policy = policies.get(options.findQueue(stepRunId) ?? '');
      if (policy === undefined) {
        return {type: 'invalid', message: `${stepRunId}: needs no advice`};
      }
      if (workerIds.length > MAX_WORKERS_PER_CALL) {
        const message = `${workerIds.length} workers: name up to ${MAX_WORKERS_PER_CALL}`;
        return {type: 'invalid', message};
      }
      const durationMs = policy.callMs + policy.perWorkerMs * workerIds.length;
      if (!(await waitForTurn(caller, durationMs))) return {type: 'throttled'};
      const {validMs} = policy;
      const tickets = workerIds
        .filter((workerId) => mayRun(stepRunId, workerId))
        .map((workerId) => issueTicket(stepRunId, workerId, validMs));
      return {type: 'approved', tickets, validMs};
    },
    acceptsTicket(ticket, stepRunId, workerId) {
      if (ticket !== `${stepRunId}/${workerId}`) return false;
      return (validUntil.get(ticket) ?? -Infinity) > clock.monotonic();
    },
  };
}
