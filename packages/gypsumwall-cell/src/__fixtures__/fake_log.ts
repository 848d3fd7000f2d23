/**
 * An in-memory keyed log with the conditions of the store: the expected end,
 * epochs and sequence numbers. Answers can be lost before or after the effect.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from '../ports.js';

/** Fault of the following calls. */
export type Fault =
  | 'none'
  /** Refused without effect. */
  | 'down'
  /** Without effect, and unanswered until the call's timeout. */
  | 'silent'
  /** Takes effect, but the answer is lost. */
  | 'answer_lost';

/**
 * Time that the platform's client allows for a read in addition to its wait;
 * milliseconds.
 */
const READ_TIMEOUT_MS = 500;

/** A log with injectable faults. */
export interface FakeLog extends ports.KeyedLog {
  fault: Fault;
  /** All records, by offset. */
  readonly records: ports.KeyedRecord[];
  appends: number;
  /** Maximum number of records that one read returns. */
  maxReadRecords: number;
  /** Drops all but the newest record of each key. */
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
      message: 'injected fault',
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
    const resumed = waiters;
    waiters = [];
    for (const resume of resumed) resume();
  }

  function newestOfKeys(): ports.KeyedRecord[] {
    const newest = new Map<string, ports.KeyedRecord>();
    for (const record of records) newest.set(record.key, record);
    return [...newest.values()].filter((record) => record.value !== '');
  }

  const log: FakeLog = {
    name,
    fault: 'none',
    records,
    appends: 0,
    maxReadRecords: Infinity,
    compact: () => void (firstOffset = records.length),
    async append(entries, {expectedEndOffset, fence, timeoutMs}) {
      await Promise.resolve();
      log.appends++;
      if (log.fault === 'silent') return silence('append', timeoutMs);
      if (log.fault === 'down') return failure('append', 'not_run');
      const firstNew = records.length;
      const refused = fenceOutcome(fence);
      if (refused !== undefined && refused !== 'repeat') {
        return result.ok(refused);
      }
      if (refused === undefined) {
        if (
          expectedEndOffset !== undefined &&
          expectedEndOffset !== records.length
        ) {
          return result.ok({type: 'moved'});
        }
        if (fence !== undefined) {
          epoch = fence.epoch;
          nextSequence = fence.sequence + 1;
        }
        add(entries);
      }
      if (log.fault === 'answer_lost') return failure('append', 'unknown');
      return result.ok({type: 'appended', firstOffset: firstNew});
    },
    async read(from, waitMs) {
      if (from >= records.length && waitMs > 0) await nextRecord(waitMs);
      if (log.fault === 'silent') {
        return silence('read', waitMs + READ_TIMEOUT_MS);
      }
      if (log.fault === 'down') {
        await new Promise((resolve) => setTimeout(resolve, 5));
        return failure('read', 'not_run');
      }
      if (from < firstOffset) return result.ok({type: 'compacted'});
      return result.ok({
        type: 'records',
        records: records.slice(from, from + log.maxReadRecords),
        endOffset: records.length,
      });
    },
    async probe(from) {
      const answer = await log.read(from, 0);
      return result.map(() => undefined, answer);
    },
    async newest() {
      await Promise.resolve();
      if (log.fault === 'down') return failure('newest', 'not_run');
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
