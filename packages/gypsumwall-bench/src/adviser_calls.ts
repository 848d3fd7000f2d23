/**
 * The calls of one decider to the adviser, through the entries that it may use.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as virtualTimeline from './virtual_timeline.js';

/**
 * Returns the workers of the request that the adviser approves, each with its
 * ticket.
 */
export type Adviser = (
  request: scheduling.schedulerTypes.AdviceRequest,
) => ReadonlyMap<types.ids.WorkerId, string>;

/** The calls of one decider to the adviser. */
export interface AdviserCalls {
  capacity(): scheduling.adviserPool.AdviceCapacity;
  requestAdvice(request: scheduling.schedulerTypes.AdviceRequest): void;
  callCount(): number;
}

/** Creates the calls of a decider; none is under way yet. */
export function createAdviserCalls(parts: {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly entries: readonly string[];
  readonly adviser: Adviser;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly onAnswer: () => void;
}): AdviserCalls {
  const {timeline, entries, scheduler} = parts;
  const pool = scheduling.adviserPool.createAdviserPool<string>();
  const busyUntil = new Map<string, number>();
  let callCount = 0;

  function handleAnswer(
    entry: string,
    request: scheduling.schedulerTypes.AdviceRequest,
  ): void {
    pool.release(entry, request.callMs);
    const validMs = request.stepRun.job.policy.advice?.validMs ?? 0;
    const validUntil = types.clock.after(timeline.now(), validMs);
    scheduler.onAdviceAnswered(request, parts.adviser(request), validUntil);
    parts.onAnswer();
  }

  return {
    capacity: () => pool.capacity(entries),
    requestAdvice(request) {
      const entry = pool.acquire(entries, request.callMs, request.needed);
      if (entry === undefined) {
        scheduler.onAdviceAnswered(request, undefined, timeline.now());
        return;
      }
      callCount++;
      // The adviser handles the calls of one entry one at a time.
      const now = timeline.now();
      const doneAt = Math.max(now, busyUntil.get(entry) ?? 0) + request.callMs;
      busyUntil.set(entry, doneAt);
      timeline.schedule(doneAt - now, () => handleAnswer(entry, request));
    },
    callCount: () => callCount,
  };
}
