/** In-memory streams of the platform's stand-in, with retention. */
import type * as platform from '@gypsumwall/platform';
import * as machineClock from './machine_clock.js';

/**
 * Limits of retention: a record is dropped as soon as either one is exceeded.
 */
export interface Retention {
  readonly keepRecords: number;
  readonly keepMs: number;
}

/** An in-memory store of log streams. */
export interface LogStore {
  append(req: platform.platformLog.AppendRequest): number;
  read(
    stream: string,
    from: number,
    limit: number,
  ): platform.platformLog.LogPage;
  /** Resolves on the next append to the stream, or after `waitMs`. */
  waitForAppend(stream: string, waitMs: number): Promise<void>;
  /** Drops records below the offset and returns the new first offset. */
  drop(stream: string, before: number): number;
  setRetention(retention: Retention): void;
  streams(): ReadonlyArray<{
    readonly stream: string;
    readonly firstOffset: number;
    readonly endOffset: number;
  }>;
}

interface StoredRecord extends platform.platformLog.LogRecord {
  readonly at: machineClock.MachineMs;
}

interface Stream {
  firstOffset: number;
  endOffset: number;
  records: StoredRecord[];
  waiters: Set<() => void>;
}

/** Creates an empty store. */
export function createLogStore(initial: Retention): LogStore {
  const streams = new Map<string, Stream>();
  let retention = initial;

  const streamOf = (name: string): Stream => {
    const known = streams.get(name);
    if (known !== undefined) return known;
    const created = {
      firstOffset: 0,
      endOffset: 0,
      records: [],
      waiters: new Set<() => void>(),
    };
    streams.set(name, created);
    return created;
  };
  const dropBefore = (stream: Stream, before: number): void => {
    const newFirstOffset = Math.min(before, stream.endOffset);
    if (newFirstOffset <= stream.firstOffset) return;
    stream.records.splice(0, newFirstOffset - stream.firstOffset);
    stream.firstOffset = newFirstOffset;
  };
  const applyRetention = (stream: Stream): void => {
    dropBefore(stream, stream.endOffset - retention.keepRecords);
    const oldest = machineClock.machineNow() - retention.keepMs;
    const firstLive = stream.records.findIndex((record) => record.at >= oldest);
    dropBefore(
      stream,
      firstLive < 0 ? stream.endOffset : stream.firstOffset + firstLive,
    );
  };

  return {
    append: (req) => {
      const stream = streamOf(req.stream);
      const firstOffset = stream.endOffset;
      const at = machineClock.machineNow();
      for (const [index, body] of req.bodies.entries()) {
        const offset = firstOffset + index;
        const sequence = req.sequence + index;
        stream.records.push({
          offset,
          producer: req.producer,
          sequence,
          body,
          at,
        });
      }
      stream.endOffset += req.bodies.length;
      applyRetention(stream);
      for (const notify of [...stream.waiters]) notify();
      return firstOffset;
    },
    read: (name, from, limit) => {
      const stream = streamOf(name);
      applyRetention(stream);
      const start = Math.max(from, stream.firstOffset);
      const index = start - stream.firstOffset;
      const records = stream.records
        .slice(index, index + limit)
        .map(({at: _at, ...record}) => record);
      const nextOffset = start + records.length;
      const {firstOffset, endOffset} = stream;
      return {records, nextOffset, firstOffset, endOffset};
    },
    waitForAppend: (name, waitMs) => {
      const stream = streamOf(name);
      return new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          stream.waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        stream.waiters.add(finish);
      });
    },
    drop: (name, before) => {
      const stream = streamOf(name);
      dropBefore(stream, before);
      return stream.firstOffset;
    },
    setRetention: (newRetention) => {
      retention = newRetention;
    },
    streams: () =>
      [...streams].map(([stream, {firstOffset, endOffset}]) => {
        return {stream, firstOffset, endOffset};
      }),
  };
}
