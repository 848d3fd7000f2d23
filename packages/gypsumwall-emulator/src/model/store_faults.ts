/** Faults of the store, and how calls end under them. */
import * as types from '@gypsumwall/types';

/** A fault that affects the calls of a caller. */
export type StoreFault =
  | {readonly type: 'none'}
  /** Calls are refused and have no effect. */
  | {readonly type: 'unavailable'}
  | {readonly type: 'throttled'}
  /** Calls have no effect and get no answer. */
  | {readonly type: 'silent'}
  | {readonly type: 'slow'; readonly addedMs: number}
  | {
      readonly type: 'lossy';
      /** Share of calls that are carried out but not answered. */
      readonly lostShare: number;
      /** Share of calls that are carried out later and not answered. */
      readonly lateShare: number;
      readonly maxDelayMs: number;
    }
  /**
   * This share of the connections is reset, each before or after its call is
   * carried out.
   */
  | {readonly type: 'resetting'; readonly share: number}
  /** The same, with an answer that the call failed. */
  | {readonly type: 'failing'; readonly share: number};

/** How a call ends for its caller. */
export type Delivery<Value> =
  | {readonly type: 'answer'; readonly value: Value}
  | {readonly type: 'unavailable'}
  | {readonly type: 'throttled'}
  /** Only the platform may write to the log. */
  | {readonly type: 'forbidden'}
  /** The call never gets an answer. */
  | {readonly type: 'lost'}
  /** The call's connection is reset instead of an answer. */
  | {readonly type: 'reset'}
  /** The answer leaves open whether the call was carried out. */
  | {readonly type: 'failed'};

/** Carries out a call that was admitted, subject to the fault. */
export async function deliver<Value>(
  clock: types.clock.Clock,
  random: types.random.Random,
  fault: StoreFault,
  carryOut: () => Value,
): Promise<Delivery<Value>> {
  switch (fault.type) {
    case 'lossy': {
      const randomShare = random.next();
      if (randomShare < fault.lateShare) {
        await types.clock.sleepFor(clock, random.integer(0, fault.maxDelayMs));
        carryOut();
        return {type: 'lost'};
      }
      const value = carryOut();
      return randomShare < fault.lateShare + fault.lostShare
        ? {type: 'lost'}
        : {type: 'answer', value};
    }
    case 'resetting':
    case 'failing':
      if (random.next() >= fault.share) break;
      if (random.next() < CARRIED_OUT_SHARE) carryOut();
      return {type: fault.type === 'failing' ? 'failed' : 'reset'};
    case 'none':
    case 'slow':
    // A call that was admitted before such a fault began is answered.
    case 'unavailable':
    case 'throttled':
    case 'silent':
      break;
  }
  return {type: 'answer', value: carryOut()};
}

/** This share of the calls that fail or are reset is carried out before. */
const CARRIED_OUT_SHARE = 0.5;
