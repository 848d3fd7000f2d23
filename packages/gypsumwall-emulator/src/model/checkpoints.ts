/** Saved progress of tasks. All members of a gang share one checkpoint. */
import type * as types from '@gypsumwall/types';

/** Saves progress under opaque checkpoint values. */
export interface Checkpoints {
  /**
   * Saves progress and returns its checkpoint value. `owner` is the id of the
   * task, or of the step run if the step is a gang.
   */
  save(owner: string, progressMs: number): string;
  /** Returns undefined if the value isn't a checkpoint of the owner. */
  findProgress(owner: string, value: string): number | undefined;
}

const MAX_RANDOM_SUFFIX = 2 ** 32 - 1;
const SUFFIX_HEX_DIGITS = 8;

/** Creates an empty table. */
export function createCheckpoints(random: types.random.Random): Checkpoints {
  const saved = new Map<string, {owner: string; progressMs: number}>();
  return {
    save(owner, progressMs) {
      const randomSuffix = random.integer(0, MAX_RANDOM_SUFFIX).toString(16);
      const count = saved.size.toString(16);
      const value =
        count.padStart(SUFFIX_HEX_DIGITS, '0') +
        randomSuffix.padStart(SUFFIX_HEX_DIGITS, '0');
      saved.set(value, {owner, progressMs});
      return value;
    },
    findProgress(owner, value) {
      if (value === '') return 0;
      const found = saved.get(value);
      return found?.owner === owner ? found.progressMs : undefined;
    },
  };
}
