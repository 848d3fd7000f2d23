/** Connects a follower and an appender to one log, as an entry does. */
import type * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as envelope from '../envelope.js';
import * as logAppender from '../log_appender.js';
import * as streamFollower from '../stream_follower.js';
import type * as memoryLog from './memory_log.js';
import * as recordingFold from './recording_fold.js';

/** Longer than anything that a test waits for. */
const TIMEOUT_MS = 5_000;

/** Opens the stream, and closes it when the test ends. */
export function openStream(
  context: nodeTest.TestContext,
  log: memoryLog.MemoryLog,
  producer = 'entry-1',
  minGapMs = 0,
) {
  const clock = types.clock.createSystemClock();
  const logger = telemetry.logger.createLogger('silent');
  const fold = recordingFold.createRecordingFold();
  const closing = new AbortController();
  context.after(() => closing.abort());
  const follower = streamFollower.createStreamFollower({
    stream: 'test',
    log,
    fold,
    clock,
    logger,
    onRecord: (record) => appender.observe(record),
  });
  const appender = logAppender.createLogAppender({
    stream: 'test',
    producer,
    log,
    clock,
    logger,
    follower,
    minGapMs,
    signal: closing.signal,
  });
  void follower.run(closing.signal);
  const deadline = () => types.clock.after(clock.monotonic(), TIMEOUT_MS);
  return {
    fold,
    follower,
    append: (name: string) =>
      appender.append(envelope.encodeRecord({name}), deadline()),
    waitFor: (offset: number) => follower.waitFor(offset, deadline()),
  };
}
