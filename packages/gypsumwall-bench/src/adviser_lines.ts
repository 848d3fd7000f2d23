/** The calls of one decider to the adviser, over the entries it may use. */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as virtualTimeline from './virtual_timeline.js';

/** Which of the named workers the adviser approves for a step. */
export type Adviser = (
  wish: scheduling.schedulerTypes.AdviceRequest,
) => ReadonlyMap<types.ids.WorkerId, string>;

/** The calls of one decider. */
export interface AdviserLines {
  capacity(): scheduling.adviserPool.AdviceCapacity;
  ask(wish: scheduling.schedulerTypes.AdviceRequest): void;
  calls(): number;
}

/** Creates lines with nothing in them. */
export function createAdviserLines(parts: {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly entries: readonly string[];
  readonly adviser: Adviser;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly onAnswer: () => void;
}): AdviserLines {
  const {timeline, entries, scheduler} = parts;
  const lanes = scheduling.adviserPool.createAdviserPool<string>();
  const lineEnds = new Map<string, number>();
  let calls = 0;

  function answer(
    lane: string,
    wish: scheduling.schedulerTypes.AdviceRequest,
  ): void {
    lanes.release(lane, wish.callMs);
    const validMs = wish.stepRun.job.policy.advice?.validMs ?? 0;
    const validUntil = types.clock.after(timeline.now(), validMs);
    scheduler.onAdviceAnswered(wish, parts.adviser(wish), validUntil);
    parts.onAnswer();
  }

  return {
    capacity: () => lanes.capacity(entries),
    ask(wish) {
      const lane = lanes.acquire(entries, wish.callMs, wish.needed);
      if (lane === undefined) {
        scheduler.onAdviceAnswered(wish, undefined, timeline.now());
        return;
      }
      calls++;
      // The adviser handles the calls of one entry one at a time.
      const now = timeline.now();
      const doneAt = Math.max(now, lineEnds.get(lane) ?? 0) + wish.callMs;
      lineEnds.set(lane, doneAt);
      timeline.later(doneAt - now, () => answer(lane, wish));
    },
    calls: () => calls,
  };
}
