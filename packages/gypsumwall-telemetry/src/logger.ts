/**
 * The one logger: a line of key=value pairs for each event, through loglevel.
 * Field `event` comes first; values with blanks or quotes are quoted.
 */
import * as loglevel from 'loglevel';

/** Values a log line may carry. */
export type LogValue = string | number | boolean | undefined;

/** Pairs of one log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** How loud a logger is. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Writes events as lines. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** A logger whose lines all carry the given pairs too. */
  with(fields: LogFields): Logger;
}

/** Makes a logger; lines go to standard error unless a sink is given. */
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

/** One line of key=value pairs; undefined values are left out. */
export function formatLine(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(' ');
}

function formatValue(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
