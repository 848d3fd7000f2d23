/**
 * A keyed log in memory with the store's conditions: appends at an offset,
 * epochs and sequences. Answers can be lost before or after the effect.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from '../ports.js';

/** What happens to the next calls. */
export type Trouble =
  | 'none'
  /** Refused; nothing is done. */
  | 'down'
  /** Nothing is done, and there is no answer until the call's time is up. */
  | 'silent'
  /** Done, and the answer is lost. */
  | 'answer_lost';

/** As the platform's client waits for a read beside its wait; milliseconds. */
const READ_TIMEOUT_MS = 500;

/** A log whose calls can be troubled. */
export interface FakeLog extends ports.KeyedLog {
  trouble: Trouble;
  /** All records, by offset. */
  readonly records: ports.KeyedRecord[];
  appends: number;
  /** The most records that one read brings. */
  mostInRead: number;
  /** Forgets all but the newest record of each key. */
  compact(): void;
}

/** Creates an empty log. */
export function createFakeLog(name = 'log'): FakeLog {
  const records: ports.KeyedRecord[] = [];
  let waiters: (() => void)[] = [];
  let firstOffset = 0;
  let epoch = -1;
  let nextSequence = 0;

  function failure(step: string, effect: types.stepError.Effect) {
    return result.err<never, types.stepError.StepError>({
      kind: 'timeout',
      step,
      peer: name,
      effect,
      message: 'as told',
    });
  }

  async function silence(step: string, timeoutMs: number) {
    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
    return failure(step, 'unknown');
  }

  function fenceOutcome(
    fence: ports.AppendOptions['fence'],
  ): ports.AppendOutcome | 'repeat' | undefined {
    if (fence === undefined) return undefined;
    if (fence.epoch < epoch) return {type: 'fenced'};
    if (fence.epoch > epoch) return undefined;
    if (fence.sequence === nextSequence - 1) return 'repeat';
    if (fence.sequence === nextSequence) return undefined;
    return {type: 'out_of_sequence', expected: nextSequence};
  }

  function add(entries: readonly ports.KeyedEntry[]): void {
    for (const entry of entries) {
      records.push({...entry, offset: records.length});
    }
    const woken = waiters;
    waiters = [];
    for (const wake of woken) wake();
  }

  function newestOfKeys(): ports.KeyedRecord[] {
    const newest = new Map<string, ports.KeyedRecord>();
    for (const record of records) newest.set(record.key, record);
    return [...newest.values()].filter((record) => record.value !== '');
  }

  const log: FakeLog = {
    name,
    trouble: 'none',
    records,
    appends: 0,
    mostInRead: Infinity,
    compact: () => void (firstOffset = records.length),
    async append(entries, {expectedEndOffset: onlyAt, fence, timeoutMs}) {
      await Promise.resolve();
      log.appends++;
      if (log.trouble === 'silent') return silence('append', timeoutMs);
      if (log.trouble === 'down') return failure('append', 'not_run');
      const firstNew = records.length;
      const refused = fenceOutcome(fence);
      if (refused !== undefined && refused !== 'repeat') {
        return result.ok(refused);
      }
      if (refused === undefined) {
        if (onlyAt !== undefined && onlyAt !== records.length) {
          return result.ok({type: 'moved'});
        }
        if (fence !== undefined) {
          epoch = fence.epoch;
          nextSequence = fence.sequence + 1;
        }
        add(entries);
      }
      if (log.trouble === 'answer_lost') return failure('append', 'unknown');
      return result.ok({type: 'appended', firstOffset: firstNew});
    },
    async read(from, waitMs) {
      if (from >= records.length && waitMs > 0) await nextRecord(waitMs);
      if (log.trouble === 'silent') {
        return silence('read', waitMs + READ_TIMEOUT_MS);
      }
      if (log.trouble === 'down') {
        await new Promise((resolve) => setTimeout(resolve, 5));
        return failure('read', 'not_run');
      }
      if (from < firstOffset) return result.ok({type: 'compacted'});
      return result.ok({
        type: 'records',
        records: records.slice(from, from + log.mostInRead),
        endOffset: records.length,
      });
    },
    async probe(from) {
      const answer = await log.read(from, 0);
      return result.map(() => undefined, answer);
    },
    async newest() {
      await Promise.resolve();
      if (log.trouble === 'down') return failure('newest', 'not_run');
      return result.ok({records: newestOfKeys(), endOffset: records.length});
    },
  };

  function nextRecord(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, 50));
      waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  return log;
}
