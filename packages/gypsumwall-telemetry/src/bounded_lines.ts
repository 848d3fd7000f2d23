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
const GATHER_MS = 100;

/** Creates a sink with a limit in lines a second. */
export function createBoundedLines(
  stream: LineStream,
  linesPerSecond: number,
): LineSink {
  const mostInGather = Math.max(1, (linesPerSecond * GATHER_MS) / 1_000);
  let lines: string[] = [];
  let dropped = 0;
  let told = 0;
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (lines.length === 0) return;
    if (stream.writableNeedDrain) {
      dropped += lines.length;
      lines = [];
      return;
    }
    if (dropped > told) {
      lines.push(`level=warn event=log_lines_dropped total=${dropped}`);
      told = dropped;
    }
    stream.write(lines.join('\n') + '\n');
    lines = [];
  }

  return {
    write(line) {
      if (lines.length >= mostInGather) dropped++;
      else lines.push(line);
      timer ??= setTimeout(flush, GATHER_MS).unref();
    },
    dropped: () => dropped,
    flush,
  };
}
