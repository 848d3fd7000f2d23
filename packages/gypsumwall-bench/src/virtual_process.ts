/**
 * A single-threaded process on a virtual timeline. Calls occupy its thread for
 * a fixed time, and decisions for the time that they took on the real
 * processor. Work that arrives meanwhile waits in a queue.
 */
import type * as virtualTimeline from './virtual_timeline.js';

/** A single-threaded process. */
export interface VirtualProcess {
  /** Queues work that occupies the thread for `costMs` before it runs. */
  enqueue(costMs: number, work: () => void): void;
  /**
   * Runs work, occupies the thread for the real time it took, and returns that
   * time.
   */
  measure(work: () => void): number;
  /** Time for which the thread was busy. */
  busyMs(): number;
  /** The part of `busyMs` that `measure` measured. */
  measuredMs(): number;
}

/** Creates an idle process. */
export function createVirtualProcess(
  timeline: virtualTimeline.VirtualTimeline,
): VirtualProcess {
  let queue: {costMs: number; work: () => void}[] = [];
  let head = 0;
  let isRunning = false;
  let measuredInItemMs = 0;
  let busyMs = 0;
  let measuredMs = 0;

  function runNext(): void {
    const item = queue[head++];
    isRunning = item !== undefined;
    if (item === undefined) {
      queue = [];
      head = 0;
      return;
    }
    busyMs += item.costMs;
    timeline.schedule(item.costMs, () => {
      measuredInItemMs = 0;
      item.work();
      timeline.schedule(measuredInItemMs, runNext);
    });
  }

  return {
    enqueue(costMs, work) {
      queue.push({costMs, work});
      if (!isRunning) runNext();
    },
    measure(work) {
      const startedAt = performance.now();
      work();
      const elapsedMs = performance.now() - startedAt;
      measuredInItemMs += elapsedMs;
      busyMs += elapsedMs;
      measuredMs += elapsedMs;
      return elapsedMs;
    },
    busyMs: () => busyMs,
    measuredMs: () => measuredMs,
  };
}
