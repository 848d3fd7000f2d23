/**
 * A process with one thread on a virtual timeline. Calls take a set time of
 * it, decisions what they took on the real processor; the rest waits in line.
 */
import type * as virtualTimeline from './virtual_timeline.js';

/** One process. */
export interface VirtualProcess {
  /** Does some work after a set time of the thread, in its turn. */
  enqueue(costMs: number, work: () => void): void;
  /** Work whose real time the thread is busy for; that time. */
  measure(work: () => void): number;
  /** Milliseconds that the thread was busy for. */
  busyMs(): number;
  /** Of these, those that were measured. */
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
