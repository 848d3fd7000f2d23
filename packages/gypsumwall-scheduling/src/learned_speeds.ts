/**
 * Learns the speeds of workers from the run times of tasks. A run is compared
 * only with the other runs of its step, because estimates of run times are far
 * off while the tasks of one step are alike. A step ran on workers of several
 * speeds, so its usual run time and the speeds are estimated in turn, by medians
 * and means of the middle half, which a task of several times its usual length
 * doesn't move.
 *
 * Pattern: a cell with two generations of hardware. Workers that are equally
 * fast keep a speed of exactly 1, however much their tasks vary.
 */
import type * as types from '@gypsumwall/types';
import * as speedPriors from './speed_priors.js';
import type * as workerRegistry from './worker_registry.js';
import type * as workerSpeeds from './worker_speeds.js';

/** Runs that are compared; those of the oldest steps are dropped first. */
const MAX_RUNS = 2_048;
/** Dropped runs count as at most this many. */
const MAX_EARLIER_RUNS = 10;
/** Interval between two estimates; milliseconds. */
const REFRESH_INTERVAL_MS = 500;
/**
 * The same while many estimates in a row have found all workers equally fast: an
 * estimate takes milliseconds, which a small instance notices.
 */
const ALIKE_REFRESH_INTERVAL_MS = 4_000;
const MIN_ALIKE_ESTIMATES = 20;
/** Part of the time that estimates take at most. */
const MAX_ESTIMATE_SHARE = 0.005;
/** Speeds and run times of steps are estimated in turn this many times. */
const PASSES = 2;
/** Bounds of a speed. */
export const MIN_SPEED = 0.25;
export const MAX_SPEED = 4;
/** Deviations up to this factor count as equal. */
const DEAD_BAND_LOG = Math.log(1.15);
/** With fewer runs, one unusually long task would decide a speed. */
const MIN_RUNS = 3;
/** Standard error of a mean of the middle half relative to that of a mean. */
const MIDDLE_ERROR_FACTOR = 1.1;
/** A deviation of fewer standard errors is chance where workers are alike. */
const MIN_DEVIATIONS = 2;
/** A deviation of more is certain, even if no other worker deviates. */
const CERTAIN_DEVIATIONS = 4;
/** Reports come some milliseconds late, however alike the tasks are. */
const MIN_NOISE_LOG = 0.05;
/** Residuals are cut here: a tail of a distribution isn't noise. */
const MAX_RESIDUAL_LOG = 1;

/** The run time of one task; updated while it runs. */
export interface Run {
  readonly worker: types.ids.WorkerId;
  /** Logarithm of its whole run time in milliseconds. */
  logMs: number;
  /** Logarithm of the speed that it shows, if it was compared. */
  shownLog?: number;
}

/** Speeds that are learned from runs. */
export interface LearnedSpeeds extends workerSpeeds.WorkerSpeeds {
  /** Adds a run of a task of a step; `runMs` is its whole run time. */
  add(stepRunId: string, worker: types.ids.WorkerId, runMs: number): Run;
  /** Updates the run time of a run; milliseconds. */
  update(run: Run, runMs: number): void;
  /**
   * Estimates the speeds again if there are new runs and the last estimate is
   * old enough; true if it did.
   */
  refresh(
    registry: workerRegistry.WorkerRegistry,
    now: types.clock.MonotonicMs,
  ): boolean;
  /** Forgets a worker whose incarnation is over. */
  forget(worker: types.ids.WorkerId): void;
}

interface Estimate {
  logSpeed: number;
  /** Logarithms of the speeds that its runs show; reused by each pass. */
  readonly shown: number[];
  /** Mean of what dropped runs have shown, and their number. */
  earlierLog: number;
  earlierRuns: number;
  /** Number of the workers whose runs were compared, also by way of others. */
  group: number;
}

/**
 * Creates speeds of workers of which nothing is known. `readMs` measures how
 * long estimates take, in milliseconds; by default they cost nothing.
 */
export function createLearnedSpeeds(
  readMs: () => number = () => 0,
): LearnedSpeeds {
  const runsByStep = new Map<string, Run[]>();
  const estimates = new Map<types.ids.WorkerId, Estimate>();
  let published = new Map<types.ids.WorkerId, number>();
  let runCount = 0;
  let groupCount = 0;
  let hasNewRuns = false;
  let refreshAt = 0;
  /** Estimates in a row that have found all workers equally fast. */
  let alikeEstimates = 0;

  function dropOldSteps(): void {
    for (const [stepRunId, runs] of runsByStep) {
      if (runCount <= MAX_RUNS) return;
      runsByStep.delete(stepRunId);
      runCount -= runs.length;
      for (const run of runs) keepMean(run);
    }
  }

  /** Keeps what a dropped run has shown, so that an idle worker stays known. */
  function keepMean({worker, shownLog}: Run): void {
    const estimate = estimates.get(worker);
    if (estimate === undefined || shownLog === undefined) return;
    estimate.earlierRuns = Math.min(MAX_EARLIER_RUNS, estimate.earlierRuns + 1);
    const error = cutResidual(shownLog - estimate.logSpeed);
    const target = estimate.logSpeed + error;
    estimate.earlierLog +=
      (target - estimate.earlierLog) / estimate.earlierRuns;
  }

  function estimateOf(worker: types.ids.WorkerId): Estimate {
    let estimate = estimates.get(worker);
    if (estimate === undefined) {
      const group = groupCount++;
      estimate = {
        logSpeed: 0,
        shown: [],
        earlierLog: 0,
        earlierRuns: 0,
        group,
      };
      estimates.set(worker, estimate);
    }
    return estimate;
  }

  function showSpeeds(): void {
    for (const {shown} of estimates.values()) shown.length = 0;
    for (const runs of runsByStep.values()) {
      const [first] = runs;
      if (runs.every(({worker}) => worker === first?.worker)) continue;
      const usual = Float64Array.from(
        runs,
        ({worker, logMs}) => logMs + estimateOf(worker).logSpeed,
      );
      joinGroups(runs);
      const sorted = usual.slice().sort();
      runs.forEach((run, nth) => {
        run.shownLog = medianWithout(sorted, usual[nth]!) - run.logMs;
        estimateOf(run.worker).shown.push(run.shownLog);
      });
    }
  }

  /** Workers are in one group once a step has run on them. */
  function joinGroups(runs: readonly Run[]): void {
    const {group} = estimateOf(runs[0]!.worker);
    for (const {worker} of runs) {
      const joined = estimateOf(worker).group;
      if (joined === group) continue;
      for (const estimate of estimates.values())
        if (estimate.group === joined) estimate.group = group;
    }
  }

  /**
   * Moves all estimates so that a usual worker of each group has a speed of 1.
   * Nothing relates groups to each other, such as pools, so that without this
   * they would drift apart.
   */
  function centre(): void {
    const sums = new Map<number, {log: number; count: number}>();
    for (const estimate of estimates.values()) {
      if (countRuns(estimate) === 0) continue;
      const sum = sums.get(estimate.group) ?? {log: 0, count: 0};
      sum.log += estimate.logSpeed;
      sum.count++;
      sums.set(estimate.group, sum);
    }
    for (const estimate of estimates.values()) {
      const {log, count} = sums.get(estimate.group) ?? {log: 0, count: 1};
      estimate.logSpeed -= log / count;
      estimate.earlierLog -= log / count;
    }
  }

  /** Standard deviation of the speed that one run shows. */
  function noiseOf(): number {
    let sum = 0;
    let count = 0;
    for (const {shown, logSpeed} of estimates.values()) {
      for (const one of shown) sum += Math.abs(cutResidual(one - logSpeed));
      // Each estimate fits one run, so a worker with one run shows no noise.
      count += Math.max(0, shown.length - 1);
    }
    // The standard deviation of a normal distribution is 1.25 times its mean
    // deviation.
    const noise = count > 0 ? (1.25 * sum) / count : MAX_RESIDUAL_LOG;
    return Math.max(MIN_NOISE_LOG, noise);
  }

  function publish({
    workers,
  }: workerRegistry.WorkerRegistry): Map<types.ids.WorkerId, number> {
    const noise = noiseOf();
    const readings: speedPriors.SpeedReading[] = [];
    for (const {info} of workers.values()) {
      const estimate = estimates.get(info.id);
      const runs = estimate === undefined ? 0 : countRuns(estimate);
      readings.push({
        info,
        logSpeed: estimate?.logSpeed ?? 0,
        errorLog:
          runs < MIN_RUNS
            ? Infinity
            : (MIDDLE_ERROR_FACTOR * noise) / Math.sqrt(runs),
      });
    }
    const priorOf = speedPriors.createPriors(readings);
    const speeds = new Map<types.ids.WorkerId, number>();
    for (const reading of readings) {
      const logSpeed = certainPart(reading, priorOf(reading.info));
      if (Math.abs(logSpeed) <= DEAD_BAND_LOG) continue;
      const speed = Math.exp(logSpeed);
      speeds.set(
        reading.info.id,
        Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed)),
      );
    }
    return speeds;
  }

  return {
    speedOf: (worker) => published.get(worker) ?? 1,
    add(stepRunId, worker, runMs) {
      const run = {worker, logMs: Math.log(Math.max(1, runMs))};
      const runs = runsByStep.get(stepRunId);
      if (runs === undefined) runsByStep.set(stepRunId, [run]);
      else runs.push(run);
      runCount++;
      hasNewRuns = true;
      dropOldSteps();
      return run;
    },
    update(run, runMs) {
      run.logMs = Math.log(Math.max(1, runMs));
      hasNewRuns = true;
    },
    refresh(registry, now) {
      if (!hasNewRuns || now < refreshAt) return false;
      hasNewRuns = false;
      const begunMs = readMs();
      for (let pass = 0; pass < PASSES; pass++) {
        showSpeeds();
        for (const estimate of estimates.values()) combine(estimate);
        centre();
      }
      published = publish(registry);
      alikeEstimates = published.size === 0 ? alikeEstimates + 1 : 0;
      const isAlike = alikeEstimates >= MIN_ALIKE_ESTIMATES;
      const spanMs = isAlike ? ALIKE_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
      // An estimate takes long on an instance with little processor capacity.
      const minSpanMs = (readMs() - begunMs) / MAX_ESTIMATE_SHARE;
      refreshAt = now + Math.max(spanMs, minSpanMs);
      return true;
    },
    forget(worker) {
      estimates.delete(worker);
      published.delete(worker);
      for (const [stepRunId, runs] of runsByStep) {
        const kept = runs.filter((run) => run.worker !== worker);
        runCount -= runs.length - kept.length;
        if (kept.length === 0) runsByStep.delete(stepRunId);
        else if (kept.length < runs.length) runsByStep.set(stepRunId, kept);
      }
    },
  };
}

/** The part of a deviation that isn't explained by noise. */
function certainPart(
  {logSpeed, errorLog}: speedPriors.SpeedReading,
  prior: speedPriors.SpeedPrior,
): number {
  const deviation = logSpeed - prior.logSpeed;
  if (Math.abs(deviation) > CERTAIN_DEVIATIONS * errorLog) return logSpeed;
  const weight = prior.varianceLog / (prior.varianceLog + errorLog ** 2);
  const isUsual = Math.abs(deviation) < MIN_DEVIATIONS * errorLog;
  if (isUsual && weight < 0.5) return prior.logSpeed;
  return prior.logSpeed + deviation * weight;
}

/** Number of runs that a speed is estimated from. */
function countRuns({shown, earlierRuns}: Estimate): number {
  return shown.length + earlierRuns;
}

function combine(estimate: Estimate): void {
  const {shown, earlierLog, earlierRuns} = estimate;
  if (shown.length === 0) return;
  const sum = middleOf(shown) * shown.length + earlierLog * earlierRuns;
  estimate.logSpeed = sum / countRuns(estimate);
}

function cutResidual(log: number): number {
  return Math.max(-MAX_RESIDUAL_LOG, Math.min(MAX_RESIDUAL_LOG, log));
}

/** Mean of the middle half of the values. */
function middleOf(values: readonly number[]): number {
  const sorted = Float64Array.from(values).sort();
  const cut = sorted.length < 3 ? 0 : Math.ceil(sorted.length / 4);
  let sum = 0;
  for (let nth = cut; nth < sorted.length - cut; nth++) sum += sorted[nth]!;
  return sum / (sorted.length - 2 * cut);
}

/** Median of at least two sorted values without one of them. */
function medianWithout(sorted: Float64Array, left: number): number {
  const rest = sorted.length - 1;
  const position = positionOf(sorted, left);
  const at = (nth: number) => sorted[nth < position ? nth : nth + 1]!;
  const middle = rest >> 1;
  return rest % 2 === 1 ? at(middle) : (at(middle - 1) + at(middle)) / 2;
}

function positionOf(sorted: Float64Array, value: number): number {
  let low = 0;
  let high = sorted.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]! < value) low = middle + 1;
    else high = middle;
  }
  return low;
}
