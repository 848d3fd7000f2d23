/** The streams behind the platform's stand-in, with retention. */
import type * as platform from '@gypsumwall/platform';
import * as machineClock from './machine_clock.js';

/** How long records are kept; either limit may drop them. */
export interface Retention {
  readonly keepRecords: number;
  readonly keepMs: number;
}

/** Streams in memory. */
export interface LogStore {
  append(req: platform.platformLog.AppendRequest): number;
  read(
    stream: string,
    from: number,
    limit: number,
  ): platform.platformLog.LogPage;
  /** Resolves on the next append to the stream, or after `waitMs`. */
  waitForAppend(stream: string, waitMs: number): Promise<void>;
  /** Drops records below the offset; gives the new first offset. */
  drop(stream: string, before: number): number;
  setRetention(retention: Retention): void;
  streams(): ReadonlyArray<{
    readonly stream: string;
    readonly firstOffset: number;
    readonly endOffset: number;
  }>;
}

interface KeptRecord extends platform.platformLog.LogRecord {
  readonly at: machineClock.MachineMs;
}

interface Stream {
  firstOffset: number;
  endOffset: number;
  kept: KeptRecord[];
  waiters: Set<() => void>;
}

/** Makes an empty store. */
export function createLogStore(initial: Retention): LogStore {
  const streams = new Map<string, Stream>();
  let retention = initial;

  const streamOf = (name: string): Stream => {
    const known = streams.get(name);
    if (known !== undefined) return known;
    const made = {
      firstOffset: 0,
      endOffset: 0,
      kept: [],
      waiters: new Set<() => void>(),
    };
    streams.set(name, made);
    return made;
  };
  const dropBefore = (stream: Stream, before: number): void => {
    const wanted = Math.min(before, stream.endOffset);
    if (wanted <= stream.firstOffset) return;
    stream.kept.splice(0, wanted - stream.firstOffset);
    stream.firstOffset = wanted;
  };
  const expire = (stream: Stream): void => {
    dropBefore(stream, stream.endOffset - retention.keepRecords);
    const oldest = machineClock.machineNow() - retention.keepMs;
    const live = stream.kept.findIndex((record) => record.at >= oldest);
    dropBefore(stream, live < 0 ? stream.endOffset : stream.firstOffset + live);
  };

  return {
    append: (req) => {
      const stream = streamOf(req.stream);
      const firstOffset = stream.endOffset;
      const at = machineClock.machineNow();
      for (const [index, body] of req.bodies.entries()) {
        const offset = firstOffset + index;
        const sequence = req.sequence + index;
        stream.kept.push({offset, producer: req.producer, sequence, body, at});
      }
      stream.endOffset += req.bodies.length;
      expire(stream);
      for (const wake of [...stream.waiters]) wake();
      return firstOffset;
    },
    read: (name, from, limit) => {
      const stream = streamOf(name);
      expire(stream);
      const start = Math.max(from, stream.firstOffset);
      const index = start - stream.firstOffset;
      const records = stream.kept
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
    setRetention: (wanted) => {
      retention = wanted;
    },
    streams: () =>
      [...streams].map(([stream, {firstOffset, endOffset}]) => {
        return {stream, firstOffset, endOffset};
      }),
  };
}
