/**
 * The service that knows which workers may run a step: one call at a time for
 * each caller, answers that don't change, and tickets that end.
 */
import * as crypto from 'node:crypto';
import * as types from '@gypsumwall/types';

/** The adviser's policy for one queue. */
export interface AdvicePolicy {
  readonly callMs: number;
  readonly perWorkerMs: number;
  /** A ticket is good for so long. */
  readonly validMs: number;
}

/** How a call is answered. */
export type AdviceAnswer =
  | {
      readonly type: 'approved';
      /** Pairs of worker and ticket. */
      readonly tickets: readonly (readonly [string, string])[];
      readonly validMs: number;
    }
  /** Too many of the caller's calls wait. */
  | {readonly type: 'throttled'}
  | {readonly type: 'invalid'; readonly message: string};

/** The adviser. */
export interface Adviser {
  /** Whether starts on the queue need a ticket. */
  advises(queue: string): boolean;
  ask(
    caller: string,
    stepRunId: string,
    workerIds: readonly string[],
  ): Promise<AdviceAnswer>;
  accepts(ticket: string, stepRunId: string, workerId: string): boolean;
}

/** What the adviser is made with. */
export interface AdviserOptions {
  readonly clock: types.clock.Clock;
  readonly seed: number;
  /** Share of the workers that may not run a step. */
  readonly refusedShare: number;
  /** Policies by queue; others need no ticket. */
  readonly policies: ReadonlyMap<string, AdvicePolicy>;
  readonly queueOf: (stepRunId: string) => string | undefined;
}

const MOST_WAITING = 32;
const MOST_WORKERS = 100;

/** Creates the adviser. */
export function createAdviser(options: AdviserOptions): Adviser {
  const {clock, policies, seed} = options;
  /** The end of each caller's last call, and how many wait. */
  const lines = new Map<string, {last: Promise<void>; waiting: number}>();
  const validUntil = new Map<string, types.clock.MonotonicMs>();

  function mayRun(stepRunId: string, workerId: string): boolean {
    const digest = crypto
      .createHash('sha1')
      .update(`${seed} ${stepRunId} ${workerId}`)
      .digest();
    const random = types.random.createRandom(digest.readInt32BE(0));
    return random.next() >= options.refusedShare;
  }

  function issue(
    stepRunId: string,
    workerId: string,
    validMs: number,
  ): readonly [string, string] {
    const ticket = `${stepRunId}/${workerId}`;
    validUntil.set(ticket, types.clock.after(clock.monotonic(), validMs));
    return [workerId, ticket];
  }

  /** Runs the caller's calls one after another. */
  async function inTurn(caller: string, spanMs: number): Promise<boolean> {
    const line = lines.get(caller) ?? {last: Promise.resolve(), waiting: 0};
    lines.set(caller, line);
    if (line.waiting >= MOST_WAITING) return false;
    line.waiting += 1;
    const mine = line.last.then(() => types.clock.sleepFor(clock, spanMs));
    line.last = mine;
    await mine;
    line.waiting -= 1;
    return true;
  }

  return {
    advises: (queue) => policies.has(queue),
    async ask(caller, stepRunId, workerIds) {
      const policy = policies.get(options.queueOf(stepRunId) ?? '');
      if (policy === undefined) {
        return {type: 'invalid', message: `${stepRunId}: needs no advice`};
      }
      if (workerIds.length > MOST_WORKERS) {
        const message = `${workerIds.length} workers: name up to ${MOST_WORKERS}`;
        return {type: 'invalid', message};
      }
      const spanMs = policy.callMs + policy.perWorkerMs * workerIds.length;
      if (!(await inTurn(caller, spanMs))) return {type: 'throttled'};
      const {validMs} = policy;
      const tickets = workerIds
        .filter((workerId) => mayRun(stepRunId, workerId))
        .map((workerId) => issue(stepRunId, workerId, validMs));
      return {type: 'approved', tickets, validMs};
    },
    accepts(ticket, stepRunId, workerId) {
      if (ticket !== `${stepRunId}/${workerId}`) return false;
      return (validUntil.get(ticket) ?? -Infinity) > clock.monotonic();
    },
  };
}
