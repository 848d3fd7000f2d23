/**
 * Writes log lines to a stream without ever waiting for it: lines are gathered
 * for a moment, at most so many a second, and none while the stream is full.
 * What is left out is counted, and the next line that gets through says so.
 */

/** The part of a stream that is used. */
export interface LineStream {
  write(text: string): boolean;
  readonly writableNeedDrain: boolean;
}

/** Takes lines. */
export interface LineSink {
  write(line: string): void;
  /** Lines left out since the start. */
  dropped(): number;
  /** Writes what is gathered; for the end of a process. */
  flush(): void;
}

/** One write to the stream for what this many milliseconds bring. */
const FLUSH_INTERVAL_MS = 100;

/** Creates a sink with a limit in lines a second. */
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
