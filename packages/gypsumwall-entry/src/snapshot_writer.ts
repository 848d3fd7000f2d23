/**
 * Appends snapshots of a stream's state before retention drops the records
 * that it was built from.
 *
 * Failure: the log keeps records for a limited time only. Symptom: an entry
 * that starts later lacks old settings, jobs or keys. A snapshot that covers
 * all dropped records lets it rebuild the state.
 */
import * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryStream from './entry_stream.js';

/** Options of `writeSnapshots`. */
export interface SnapshotWriterOptions {
  readonly streams: readonly entryStream.EntryStream[];
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Number of records after which a new snapshot is written. */
  readonly intervalRecords: number;
  /** Time after which a snapshot is written if there is any new record. */
  readonly intervalMs: number;
}

const CHECK_INTERVAL_MS = 1_000;
const APPEND_TIMEOUT_MS = 10_000;

/** Writes snapshots until the signal aborts. */
export async function writeSnapshots(
  options: SnapshotWriterOptions,
  signal: AbortSignal,
): Promise<void> {
  const {clock, random} = options;
  const dueAt = new Map(
    options.streams.map((stream) => [stream, nextDueAt(options)]),
  );
  while (!signal.aborted) {
    // Entries check at different moments, so that one of them writes for all:
    // the others see its snapshot in the stream and reset their counts.
    const jitteredMs = CHECK_INTERVAL_MS * (0.5 + random.next());
    const checkAt = types.clock.after(clock.monotonic(), jitteredMs);
    await clock.sleepUntil(checkAt, signal);
    for (const stream of options.streams) {
      const recordCount = stream.follower.recordsSinceSnapshot();
      const isIntervalOver = clock.monotonic() >= (dueAt.get(stream) ?? 0);
      // Retention has already dropped records that a new reader would need.
      const isUrgent = !stream.follower.isRebuildable();
      const isDue =
        isUrgent ||
        recordCount >= options.intervalRecords ||
        (isIntervalOver && recordCount > 0);
      if (isIntervalOver) dueAt.set(stream, nextDueAt(options));
      if (isDue && stream.follower.isCaughtUp())
        await writeSnapshot(options, stream);
    }
  }
}

function nextDueAt(options: SnapshotWriterOptions): types.clock.MonotonicMs {
  const {clock, random, intervalMs} = options;
  return types.clock.after(
    clock.monotonic(),
    intervalMs * (0.5 + random.next()),
  );
}

async function writeSnapshot(
  options: SnapshotWriterOptions,
  stream: entryStream.EntryStream,
): Promise<void> {
  const snapshot = stream.follower.snapshot();
  const bodies = records.snapshotText.toBodies(snapshot);
  const deadline = types.clock.after(
    options.clock.monotonic(),
    APPEND_TIMEOUT_MS,
  );
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
