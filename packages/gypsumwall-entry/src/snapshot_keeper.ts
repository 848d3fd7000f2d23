/**
 * Re-appends a stream's state before retention drops the records it came
 * from.
 *
 * Failure: the log keeps records for a limited time only. Symptom: an entry
 * started later misses settings, jobs or keys that were set long ago. A
 * snapshot in the stream, newer than what is dropped, is all it needs.
 */
import * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryStream from './entry_stream.js';

/** What the keeper needs. */
export interface SnapshotKeeperOptions {
  readonly streams: readonly entryStream.EntryStream[];
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Records after which a stream's state is written again. */
  readonly everyRecords: number;
  /** Time after which it is, however few the records. */
  readonly everyMs: number;
}

const LOOK_EVERY_MS = 1_000;
const APPEND_MS = 10_000;

/** Writes snapshots until the signal aborts. */
export async function keepSnapshots(
  options: SnapshotKeeperOptions,
  signal: AbortSignal,
): Promise<void> {
  const {clock, random} = options;
  const dueAt = new Map(
    options.streams.map((stream) => [stream, nextDue(options)]),
  );
  while (!signal.aborted) {
    // Entries look at different moments, so that one writes for all: the
    // others see its snapshot in the stream and start to count anew.
    const spreadMs = LOOK_EVERY_MS * (0.5 + random.next());
    const lookAt = types.clock.after(clock.monotonic(), spreadMs);
    await clock.sleepUntil(lookAt, signal);
    for (const stream of options.streams) {
      const since = stream.follower.recordsSinceSnapshot();
      const timeIsUp = clock.monotonic() >= (dueAt.get(stream) ?? 0);
      // Retention has already dropped what a new reader would need.
      const urgent = !stream.follower.isRebuildable();
      const due =
        urgent || since >= options.everyRecords || (timeIsUp && since > 0);
      if (timeIsUp) dueAt.set(stream, nextDue(options));
      if (due && stream.follower.caughtUp()) await write(options, stream);
    }
  }
}

function nextDue(options: SnapshotKeeperOptions): types.clock.MonotonicMs {
  const {clock, random, everyMs} = options;
  return types.clock.after(clock.monotonic(), everyMs * (0.5 + random.next()));
}

async function write(
  options: SnapshotKeeperOptions,
  stream: entryStream.EntryStream,
): Promise<void> {
  const snapshot = stream.follower.snapshot();
  const bodies = records.snapshotText.toBodies(snapshot);
  const deadline = types.clock.after(options.clock.monotonic(), APPEND_MS);
  const appended = await Promise.all(
    bodies.map((body) => stream.appender.append(body, deadline)),
  );
  options.logger.info('snapshot_written', {
    stream: stream.name,
    next_offset: snapshot.nextOffset,
    bytes: snapshot.text.length,
    complete: appended.every((answer) => answer.isOk),
  });
}
