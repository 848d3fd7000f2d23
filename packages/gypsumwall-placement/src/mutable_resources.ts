/** Amounts that are updated in place, for sums that change all the time. */
import type * as types from '@gypsumwall/types';

/** An amount that is updated in place. */
export interface MutableResources {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** A copy that may be changed. */
export function mutableCopy(from: types.resources.Resources): MutableResources {
  return {...from};
}

/** Adds an amount, or takes it away. */
export function adjust(
  target: MutableResources,
  amount: types.resources.Resources,
  sign: 1 | -1,
): void {
  target.cpuMillis += sign * amount.cpuMillis;
  target.memoryMb += sign * amount.memoryMb;
  target.accelerators += sign * amount.accelerators;
}
