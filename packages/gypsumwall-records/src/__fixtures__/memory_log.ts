/** A log in memory whose appends can go wrong in the ways the real one's do. */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';

/** What happens to one append. */
export type AppendFault =
  /** Takes effect, the answer is lost. */
  | 'lost_answer'
  /** Never arrives; the producer can't know that. */
  | 'lost_request'
  /** Is answered with a timeout and arrives when `deliverLate` is called. */
  | 'late';

/** The log and its faults. */
export interface MemoryLog extends platform.platformLog.PlatformLog {
  /** Strikes the next appends, one each. */
  strike(...faults: AppendFault[]): void;
  deliverLate(): void;
  /** Drops records below the offset, as retention does. */
  dropBelow(offset: number): void;
  appends(): number;
}

/** Makes an empty log of one stream. */
export function createMemoryLog(): MemoryLog {
  let kept: platform.platformLog.LogRecord[] = [];
  let firstOffset = 0;
  let endOffset = 0;
  let appends = 0;
  const faults: AppendFault[] = [];
  const late: platform.platformLog.AppendRequest[] = [];
  const readers = new Set<() => void>();

  function take(req: platform.platformLog.AppendRequest): number {
    const first = endOffset;
    req.bodies.forEach((body, index) => {
      kept.push({
        offset: first + index,
        producer: req.producer,
        sequence: req.sequence + index,
        body,
      });
    });
    endOffset += req.bodies.length;
    readers.forEach((wake) => wake());
    return first;
  }

  const timeout = () =>
    result.err<platform.platformLog.AppendAnswer, types.stepError.StepError>({
      kind: 'timeout',
      step: 'log.append',
      peer: 'memory',
      effect: 'unknown',
      message: 'no answer',
    });

  return {
    strike: (...more) => void faults.push(...more),
    deliverLate: () => late.splice(0).forEach(take),
    dropBelow: (offset) => {
      firstOffset = offset;
      kept = kept.filter((record) => record.offset >= offset);
    },
    appends: () => appends,
    append: async (req) => {
      appends += 1;
      await Promise.resolve();
      switch (faults.shift()) {
        case undefined:
          return result.ok({firstOffset: take(req)});
        case 'lost_answer':
          take(req);
          return timeout();
        case 'lost_request':
          return timeout();
        case 'late':
          late.push(req);
          return timeout();
      }
    },
    read: async ({from, limit, waitMs, signal}) => {
      if (from >= endOffset && waitMs > 0) await nextAppend(readers, signal);
      const start = Math.max(from, firstOffset);
      const records = kept
        .filter((record) => record.offset >= start)
        .slice(0, limit);
      const last = records.at(-1);
      const nextOffset = last === undefined ? start : last.offset + 1;
      return result.ok({records, nextOffset, firstOffset, endOffset});
    },
  };
}

function nextAppend(
  readers: Set<() => void>,
  signal: AbortSignal | undefined,
): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      readers.delete(wake);
      resolve();
    };
    readers.add(wake);
    signal?.addEventListener('abort', wake, {once: true});
  });
}
