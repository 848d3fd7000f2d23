/** Saved progress of tasks. Gang members share theirs. */
import type * as types from '@gypsumwall/types';

/** Progress by the value that stands for it. */
export interface Checkpoints {
  /** `owner` is a task's id, or that of a gang's step. */
  save(owner: string, progressMs: number): string;
  /** Undefined for a value that isn't the owner's. */
  findProgress(owner: string, value: string): number | undefined;
}

const MAX_RANDOM_SUFFIX = 2 ** 32 - 1;
const SUFFIX_HEX_DIGITS = 8;

/** Creates a table without checkpoints. */
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
