/**
 * Writes log lines to a stream without waiting for it. Lines are buffered and
 * written at a fixed interval, up to a limit per second. Lines above the limit,
 * and all lines while the stream's buffer is full, are dropped. The number of
 * dropped lines is logged with the next lines written.
 */

/** The members of a writable stream that the sink uses. */
export interface LineStream {
  write(text: string): boolean;
  readonly writableNeedDrain: boolean;
}

/** Accepts log lines. */
export interface LineSink {
  write(line: string): void;
  /** Number of lines dropped since the sink was created. */
  dropped(): number;
  /** Writes the buffered lines; call it before the process exits. */
  flush(): void;
}

/** Interval between writes to the stream, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;

/** Creates a sink that writes at most `linesPerSecond`. */
export function createBoundedLineSink(
  stream: LineStream,
  linesPerSecond: number,
): LineSink {
  const maxBufferedLines = Math.max(
    1,
    (linesPerSecond * FLUSH_INTERVAL_MS) / 1_000,
  );
  let bufferedLines: string[] = [];
  let dropped = 0;
  let reportedDropped = 0;
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (bufferedLines.length === 0) return;
    if (stream.writableNeedDrain) {
      dropped += bufferedLines.length;
      bufferedLines = [];
      return;
    }
    if (dropped > reportedDropped) {
      bufferedLines.push(`level=warn event=log_lines_dropped total=${dropped}`);
      reportedDropped = dropped;
    }
    stream.write(bufferedLines.join('\n') + '\n');
    bufferedLines = [];
  }

  return {
    write(line) {
      if (bufferedLines.length >= maxBufferedLines) dropped++;
      else bufferedLines.push(line);
      timer ??= setTimeout(flush, FLUSH_INTERVAL_MS).unref();
    },
    dropped: () => dropped,
    flush,
  };
}
