/**
 * Structured logger on top of loglevel. Each event is one line of key=value
 * pairs; values that are empty or contain whitespace, quotes or equals signs
 * are quoted.
 */
import * as loglevel from 'loglevel';

/** Type of the values in a log line. */
export type LogValue = string | number | boolean | undefined;

/** Names and values of one log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Lowest severity that a logger writes; `silent` writes nothing. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Writes events as lines. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Returns a logger that adds the given fields to each line. */
  with(fields: LogFields): Logger;
}

/** Creates a logger; lines go to standard error unless `write` is given. */
export function createLogger(
  level: LogLevel,
  base: LogFields = {},
  write: (line: string) => void = (line) => {
    process.stderr.write(`${line}\n`);
  },
): Logger {
  const sink = loglevel.default.getLogger(`gypsumwall-${level}`);
  sink.methodFactory = () => (line: unknown) => write(String(line));
  sink.setLevel(level, false);
  return bindFields(sink, base);
}

function bindFields(sink: loglevel.Logger, base: LogFields): Logger {
  const formatEvent = (level: string, event: string, fields: LogFields = {}) =>
    formatLine({
      time: new Date().toISOString(),
      level,
      event,
      ...base,
      ...fields,
    });
  return {
    debug: (event, fields) => sink.debug(formatEvent('debug', event, fields)),
    info: (event, fields) => sink.info(formatEvent('info', event, fields)),
    warn: (event, fields) => sink.warn(formatEvent('warn', event, fields)),
    error: (event, fields) => sink.error(formatEvent('error', event, fields)),
    with: (fields) => bindFields(sink, {...base, ...fields}),
  };
}

/** Formats fields as key=value pairs; fields that are undefined are omitted. */
export function formatLine(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(' ');
}

function formatValue(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
