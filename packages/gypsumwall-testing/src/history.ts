/** Records events in order, each with its time. */
import type * as historyEvent from './history_event.js';
import * as machineClock from './machine_clock.js';

/** The recorded events of one process. */
export interface History {
  record(body: historyEvent.EventBody): void;
  /** Returns the events whose number is at least `number`. */
  since(number: number): readonly historyEvent.HistoryEvent[];
}

/** Creates an empty history; `source` names the recording process. */
export function createHistory(source: string): History {
  const events: historyEvent.HistoryEvent[] = [];
  return {
    record: (body) => {
      const at = machineClock.machineNow();
      events.push({...body, at, source, number: events.length});
    },
    since: (number) => events.slice(number),
  };
}

/** Merges the events of several processes, sorted by time. */
export function mergeHistories(
  histories: ReadonlyArray<readonly historyEvent.HistoryEvent[]>,
): historyEvent.HistoryEvent[] {
  return histories
    .flat()
    .sort((left, right) => left.at - right.at || left.number - right.number);
}

/** Formats an event as a line of text, with its time relative to `from`. */
export function formatEvent(
  event: historyEvent.HistoryEvent,
  from: machineClock.MachineMs,
): string {
  const {at, source, number, type, ...rest} = event;
  const seconds = ((at - from) / 1_000).toFixed(3).padStart(8);
  const fields = Object.entries(rest)
    .map(([key, value]) => `${key}=${formatField(value)}`)
    .join(' ');
  return `${seconds} ${source}#${number} ${type} ${fields}`;
}

const MAX_FIELD_CHARS = 200;

function formatField(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return text.length > MAX_FIELD_CHARS
    ? `${text.slice(0, MAX_FIELD_CHARS)}...`
    : text;
}
