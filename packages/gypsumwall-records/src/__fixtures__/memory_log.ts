/** An in-memory log whose appends can fail in the ways of the real log. */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';

/** A fault of one append. */
export type AppendFault =
  /** The append takes effect, but its answer is lost. */
  | 'lost_answer'
  /** The append never arrives, which the producer can't know. */
  | 'lost_request'
  /** The append times out, and arrives when `deliverDelayed` is called. */
  | 'late';

/** The log, with controls for its faults. */
export interface MemoryLog extends platform.platformLog.PlatformLog {
  /** Applies the faults to the next appends, one each. */
  failNextAppends(...faults: AppendFault[]): void;
  deliverDelayed(): void;
  /** Drops records below the offset, like retention. */
  dropBelow(offset: number): void;
  appends(): number;
}

/** Creates an empty log of one stream. */
export function createMemoryLog(): MemoryLog {
  let stored: platform.platformLog.LogRecord[] = [];
  let firstOffset = 0;
  let endOffset = 0;
  let appends = 0;
  const faults: AppendFault[] = [];
  const delayed: platform.platformLog.AppendRequest[] = [];
  const waitingReads = new Set<() => void>();

  function storeRecords(req: platform.platformLog.AppendRequest): number {
    const first = endOffset;
    req.bodies.forEach((body, index) => {
      stored.push({
        offset: first + index,
        producer: req.producer,
        sequence: req.sequence + index,
        body,
      });
    });
    endOffset += req.bodies.length;
    waitingReads.forEach((resolveRead) => resolveRead());
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
    failNextAppends: (...more) => void faults.push(...more),
    deliverDelayed: () => delayed.splice(0).forEach(storeRecords),
    dropBelow: (offset) => {
      firstOffset = offset;
      stored = stored.filter((record) => record.offset >= offset);
    },
    appends: () => appends,
    append: async (req) => {
      appends += 1;
      await Promise.resolve();
      switch (faults.shift()) {
        case undefined:
          return result.ok({firstOffset: storeRecords(req)});
        case 'lost_answer':
          storeRecords(req);
          return timeout();
        case 'lost_request':
          return timeout();
        case 'late':
          delayed.push(req);
          return timeout();
      }
    },
    read: async ({from, limit, waitMs, signal}) => {
      if (from >= endOffset && waitMs > 0)
        await nextAppend(waitingReads, signal);
      const start = Math.max(from, firstOffset);
      const records = stored
        .filter((record) => record.offset >= start)
        .slice(0, limit);
      const last = records.at(-1);
      const nextOffset = last === undefined ? start : last.offset + 1;
      return result.ok({records, nextOffset, firstOffset, endOffset});
    },
  };
}

function nextAppend(
  waitingReads: Set<() => void>,
  signal: AbortSignal | undefined,
): Promise<void> {
  return new Promise((resolve) => {
    const resolveRead = () => {
      waitingReads.delete(resolveRead);
      resolve();
    };
    waitingReads.add(resolveRead);
    signal?.addEventListener('abort', resolveRead, {once: true});
  });
}
