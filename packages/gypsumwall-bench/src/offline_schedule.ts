/**
 * The offline schedule against which missed deadlines are judged: preemptive
 * earliest deadline first. It knows all actual sizes and run times in advance,
 * runs only jobs with deadlines, preempts and migrates tasks at no cost, and
 * treats all processors as one pool. No real policy has these advantages, so a
 * deadline that this schedule misses counts as unavoidable.
 */
import type * as workload from './workload.js';

const TICK_MS = 250;

interface Demand {
  readonly arrival: workload.Arrival;
  readonly remainingMs: number[];
  isMissed: boolean;
}

/** Returns the ids of the jobs whose deadlines the schedule misses. */
export function findMissedDeadlines(
  arrivals: readonly workload.Arrival[],
  capacityMillis: number,
  horizonMs: number,
): Set<string> {
  const upcoming = arrivals
    .map((arrival) => ({
      arrival,
      remainingMs: arrival.tasks.map((task) => task.runMs),
      isMissed: false,
    }))
    .sort((left, right) => left.arrival.at - right.arrival.at);
  const missed = new Set<string>();
  let active: Demand[] = [];
  let next = 0;
  for (let now = 0; now < horizonMs; now += TICK_MS) {
    const end = now + TICK_MS;
    while (next < upcoming.length && upcoming[next]!.arrival.at < end) {
      active.push(upcoming[next]!);
      next += 1;
    }
    if (active.length === 0) continue;
    active.sort((left, right) => deadlineOf(left) - deadlineOf(right));
    runTick(active, now, capacityMillis);
    active = active.filter((demand) => {
      const isDone = demand.remainingMs.every((left) => left <= 0);
      if (!isDone && deadlineOf(demand) <= end) {
        missed.add(demand.arrival.jobId);
      }
      return !isDone && deadlineOf(demand) > end;
    });
  }
  return missed;
}

function runTick(
  active: readonly Demand[],
  now: number,
  capacityMillis: number,
): void {
  let freeMillis = capacityMillis;
  for (const demand of active) {
    const availableMs = Math.min(TICK_MS, now + TICK_MS - demand.arrival.at);
    demand.arrival.tasks.forEach((task, index) => {
      const left = demand.remainingMs[index]!;
      if (left <= 0 || freeMillis <= 0) return;
      const share = Math.min(1, freeMillis / task.cpuMillis);
      demand.remainingMs[index] = left - availableMs * share;
      freeMillis -= task.cpuMillis * share;
    });
  }
}

function deadlineOf(demand: Demand): number {
  return demand.arrival.spec.deadline ?? Infinity;
}
