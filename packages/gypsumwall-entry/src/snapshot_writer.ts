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
export interface SnapshotWriterOptions {
  readonly streams: readonly entryStream.EntryStream[];
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Records after which a stream's state is written again. */
  readonly intervalRecords: number;
  /** Time after which it is, however few the records. */
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
    // Entries look at different moments, so that one writes for all: the
    // others see its snapshot in the stream and start to count anew.
    const jitteredMs = CHECK_INTERVAL_MS * (0.5 + random.next());
    const checkAt = types.clock.after(clock.monotonic(), jitteredMs);
    await clock.sleepUntil(checkAt, signal);
    for (const stream of options.streams) {
      const recordCount = stream.follower.recordsSinceSnapshot();
      const isIntervalOver = clock.monotonic() >= (dueAt.get(stream) ?? 0);
      // Retention has already dropped what a new reader would need.
      const isUrgent = !stream.follower.isRebuildable();
      const isDue =
        isUrgent ||
        recordCount >= options.intervalRecords ||
        (isIntervalOver && recordCount > 0);
      if (isIntervalOver) dueAt.set(stream, nextDueAt(options));
      if (isDue && stream.follower.caughtUp())
        await writeSnapshot(options, stream);
    }
  }
}

function nextDueAt(options: SnapshotWriterOptions): types.clock.MonotonicMs {
  const {clock, random, intervalMs} = options;
  return types.clock.after(clock.monotonic(), intervalMs * (0.5 + random.next()));
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
