/** Resource amounts that are updated in place, for sums that change often. */
import type * as types from '@gypsumwall/types';

/** A resource amount that is updated in place. */
export interface MutableResources {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

export function mutableCopy(from: types.resources.Resources): MutableResources {
  return {...from};
}

/** Adds an amount to the target; with -1, subtracts it. */
export function adjust(
  target: MutableResources,
  amount: types.resources.Resources,
  sign: 1 | -1,
): void {
  target.cpuMillis += sign * amount.cpuMillis;
  target.memoryMb += sign * amount.memoryMb;
  target.accelerators += sign * amount.accelerators;
}
