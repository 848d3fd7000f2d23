/** Summarises the speeds of workers by label, for the log and for gauges. */
import * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';
import type * as workerSpeeds from './worker_speeds.js';

/** Minimum interval between two reports; milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** A change by this factor is reported. */
const MATERIAL_FACTOR = 1.2;

/** Speeds of the workers with one label. */
export interface SpeedSummary {
  /** Empty for workers without a label other than their rack. */
  readonly label: string;
  readonly workers: number;
  readonly min: number;
  readonly median: number;
  readonly max: number;
}

/** Summarises the speeds by label; the label of the rack is left out. */
export function summarizeSpeeds(
  {workers}: workerRegistry.WorkerRegistry,
  speeds: workerSpeeds.WorkerSpeeds,
): SpeedSummary[] {
  const byLabel = new Map<string, number[]>();
  for (const {info} of workers.values()) {
    const label = info.labels.find((one) => one !== info.rack) ?? '';
    const speed = speeds.speedOf(info.id);
    const others = byLabel.get(label);
    if (others === undefined) byLabel.set(label, [speed]);
    else others.push(speed);
  }
  return [...byLabel].map(([label, unsorted]) => {
    const sorted = unsorted.sort((a, b) => a - b);
    return {
      label,
      workers: sorted.length,
      min: sorted[0]!,
      median: sorted[sorted.length >> 1]!,
      max: sorted.at(-1)!,
    };
  });
}

/** The speeds of the workers with a label have changed materially. */
export interface SpeedEvent extends SpeedSummary {
  readonly type: 'worker_speeds';
}

/** Reports the speeds of a label once they have changed materially. */
export interface SpeedReporter {
  report(
    summaries: readonly SpeedSummary[],
    now: types.clock.MonotonicMs,
  ): void;
}

/** Creates a reporter for which all workers were equally fast so far. */
export function createSpeedReporter(
  onEvent: (event: SpeedEvent) => void,
): SpeedReporter {
  const reported = new Map<string, SpeedSummary>();
  let nextReportAt = 0;

  return {
    report(summaries, now) {
      if (now < nextReportAt) return;
      for (const summary of summaries) {
        if (!isMaterial(summary, reported.get(summary.label))) continue;
        reported.set(summary.label, summary);
        nextReportAt = types.clock.after(now, REPORT_INTERVAL_MS);
        onEvent({
          ...summary,
          type: 'worker_speeds',
          min: round(summary.min),
          median: round(summary.median),
          max: round(summary.max),
        });
      }
    },
  };
}

function isMaterial(
  after: SpeedSummary,
  {min, median, max}: Pick<SpeedSummary, 'min' | 'median' | 'max'> = {
    min: 1,
    median: 1,
    max: 1,
  },
): boolean {
  const differs = (a: number, b: number) =>
    Math.max(a, b) > Math.min(a, b) * MATERIAL_FACTOR;
  return (
    differs(after.min, min) ||
    differs(after.median, median) ||
    differs(after.max, max)
  );
}

function round(speed: number): number {
  return Math.round(speed * 100) / 100;
}
