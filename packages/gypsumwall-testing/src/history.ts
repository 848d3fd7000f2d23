/** Records events in order, each with its moment. */
import type * as historyEvent from './history_event.js';
import * as machineClock from './machine_clock.js';

/** One process's recorded events. */
export interface History {
  record(body: historyEvent.EventBody): void;
  /** Events from the given number on. */
  since(number: number): readonly historyEvent.HistoryEvent[];
}

/** Makes an empty history of the named recorder. */
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

/** All recorders' events in one order of time. */
export function mergeHistories(
  histories: ReadonlyArray<readonly historyEvent.HistoryEvent[]>,
): historyEvent.HistoryEvent[] {
  return histories
    .flat()
    .sort((left, right) => left.at - right.at || left.number - right.number);
}

/** One event as a line of text, with its moment relative to `from`. */
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
