/**
 * Learns how long requests hold a slot, for each operation of a team, as a
 * multiple of the declared time, since declared times are often far off.
 */
import type * as router from './router.js';

/** Estimates of the service times of requests. */
export interface ServiceTimes {
  /** The expected time. */
  typicalMs(req: router.RoutedRequest): number;
  /** A time that few requests exceed. */
  pessimisticMs(req: router.RoutedRequest): number;
  /** Records the time that a request took. */
  record(req: router.RoutedRequest, tookMs: number): void;
}

/**
 * The mean and the mean absolute deviation of the ratio of actual to declared
 * time.
 */
interface LearnedRatio {
  readonly mean: number;
  readonly deviation: number;
  readonly samples: number;
}

/**
 * The first answers are weighted as in an arithmetic mean, later ones with this
 * weight. With a larger weight, a single slow answer would raise all estimates
 * for a while, and requests would be refused unnecessarily.
 */
const MIN_GAIN = 1 / 32;
/** Without samples: the declared time may be off by a factor of 4 and vary. */
const INITIAL_RATIO: LearnedRatio = {mean: 1, deviation: 4, samples: 1};
const PESSIMISTIC_DEVIATIONS = 2;
/**
 * Limits a sample, so that one extreme answer doesn't get later requests
 * refused.
 */
const MAX_RATIO = 20;
/** The number of operations stored; the oldest one is removed first. */
const MAX_OPERATIONS = 4_096;
const MIN_ESTIMATE_MS = 1;

/** Creates estimates without samples. */
export function createServiceTimes(): ServiceTimes {
  const learned = new Map<string, LearnedRatio>();
  const ratioOf = (req: router.RoutedRequest) =>
    learned.get(operationKey(req)) ?? INITIAL_RATIO;
  return {
    typicalMs: (req) => declaredMs(req) * ratioOf(req).mean,
    pessimisticMs: (req) => {
      const {mean, deviation} = ratioOf(req);
      return declaredMs(req) * (mean + PESSIMISTIC_DEVIATIONS * deviation);
    },
    record: (req, tookMs) => {
      const old = ratioOf(req);
      const sample = Math.min(tookMs / declaredMs(req), MAX_RATIO);
      learned.set(operationKey(req), updateRatio(old, sample));
      if (learned.size > MAX_OPERATIONS) deleteOldest(learned);
    },
  };
}

function updateRatio(old: LearnedRatio, sample: number): LearnedRatio {
  const gain = Math.max(MIN_GAIN, 1 / (old.samples + 1));
  const difference = sample - old.mean;
  return {
    mean: old.mean + gain * difference,
    deviation: old.deviation + gain * (Math.abs(difference) - old.deviation),
    samples: old.samples + 1,
  };
}

function declaredMs(req: router.RoutedRequest): number {
  return Math.max(MIN_ESTIMATE_MS, req.estimateMs);
}

function operationKey(req: router.RoutedRequest): string {
  return `${req.team}\n${req.operation}`;
}

function deleteOldest(learned: Map<string, LearnedRatio>): void {
  for (const key of learned.keys()) {
    learned.delete(key);
    return;
  }
}
