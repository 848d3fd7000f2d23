/**
 * How long requests really hold a slot, learned for each operation of a team
 * as a multiple of what they declare: declared times are often far off.
 */
import type * as router from './router.js';

/** What is known of the time that a request will take. */
export interface ServiceTimes {
  /** The time to expect, in milliseconds. */
  typicalMs(req: router.RoutedRequest): number;
  /** A time that few exceed, in milliseconds. */
  pessimisticMs(req: router.RoutedRequest): number;
  /** Takes in the time that a request took. */
  learn(req: router.RoutedRequest, tookMs: number): void;
}

/** Mean and mean deviation of time taken over time declared. */
interface LearnedRatio {
  readonly mean: number;
  readonly deviation: number;
  readonly samples: number;
}

/**
 * The first answers count as in a plain mean, later ones for at least this
 * much. With a larger weight a single answer out of the long tail makes all
 * requests look long for a while, and they are refused without need.
 */
const LEAST_GAIN = 1 / 32;
/** Nothing learned yet: it may be off by a factor of four and have a tail. */
const FIRST_RATIO: LearnedRatio = {mean: 1, deviation: 4, samples: 1};
const PESSIMISTIC_DEVIATIONS = 2;
/** One answer out of all proportion must not close the door for the next. */
const LARGEST_RATIO = 20;
/** Operations remembered; the one learned first is forgotten first. */
const MAX_OPERATIONS = 4_096;
const SHORTEST_ESTIMATE_MS = 1;

/** Makes one that has learned nothing. */
export function createServiceTimes(): ServiceTimes {
  const learned = new Map<string, LearnedRatio>();
  const ratioOf = (req: router.RoutedRequest) =>
    learned.get(operationKey(req)) ?? FIRST_RATIO;
  return {
    typicalMs: (req) => declaredMs(req) * ratioOf(req).mean,
    pessimisticMs: (req) => {
      const {mean, deviation} = ratioOf(req);
      return declaredMs(req) * (mean + PESSIMISTIC_DEVIATIONS * deviation);
    },
    learn: (req, tookMs) => {
      const old = ratioOf(req);
      const sample = Math.min(tookMs / declaredMs(req), LARGEST_RATIO);
      learned.set(operationKey(req), mixIn(old, sample));
      if (learned.size > MAX_OPERATIONS) forgetFirst(learned);
    },
  };
}

function mixIn(old: LearnedRatio, sample: number): LearnedRatio {
  const gain = Math.max(LEAST_GAIN, 1 / (old.samples + 1));
  const off = sample - old.mean;
  return {
    mean: old.mean + gain * off,
    deviation: old.deviation + gain * (Math.abs(off) - old.deviation),
    samples: old.samples + 1,
  };
}

function declaredMs(req: router.RoutedRequest): number {
  return Math.max(SHORTEST_ESTIMATE_MS, req.estimateMs);
}

function operationKey(req: router.RoutedRequest): string {
  return `${req.team}\n${req.operation}`;
}

function forgetFirst(learned: Map<string, LearnedRatio>): void {
  for (const key of learned.keys()) {
    learned.delete(key);
    return;
  }
}
