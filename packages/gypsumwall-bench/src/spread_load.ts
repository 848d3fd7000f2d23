/**
 * Generates the jobs of a cell; they are the same for every scheduling variant.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as stepLoad from './step_load.js';
import type * as virtualTimeline from './virtual_timeline.js';

/** Parameters of the load. */
export interface SpreadLoadParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly random: types.random.Random;
  /** Factor by which the arrival rates are scaled. */
  readonly load: number;
  readonly accept: (
    id: types.ids.JobId,
    kind: stepLoad.JobKind,
    request: scheduling.jobRequest.JobRequest,
  ) => void;
}

/** Starts the arrivals of all kinds of jobs. */
export function startArrivals(parts: SpreadLoadParts): void {
  const {timeline, random} = parts;
  let jobCount = 0;

  function handleArrival(kind: stepLoad.JobKind): void {
    const id = types.ids.brand<types.ids.JobId>(`job${++jobCount}`);
    parts.accept(id, kind, stepLoad.drawRequest(kind, random));
    scheduleArrival(kind);
  }

  function scheduleArrival(kind: stepLoad.JobKind): void {
    const now = timeline.now();
    const burst = stepLoad.BURSTS.find(
      (candidate) =>
        candidate.kind === kind.name &&
        now >= candidate.fromMs &&
        now < candidate.toMs,
    );
    const rate = kind.rate * parts.load * (burst?.factor ?? 1);
    const gapMs = (-Math.log(1 - random.next()) * 1_000) / rate;
    timeline.schedule(gapMs, () => handleArrival(kind));
  }

  for (const kind of stepLoad.PEAK_KINDS) scheduleArrival(kind);
}
