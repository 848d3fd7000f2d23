/**
 * Collects what happened to each job outside the entries, and combines it with
 * the lines of the entries' logs that name the job.
 */
import * as fs from 'node:fs';
import type * as store from '../model/store.js';
import type * as emulatedCell from '../rig/emulated_cell.js';
import type * as jobStream from './job_stream.js';

/** Where the parts of a trace come from. */
export interface TraceSources {
  readonly cell: emulatedCell.EmulatedCell;
  readonly tries: readonly jobStream.ObservedTry[];
}

/** The trace of a campaign. */
export interface JobTrace {
  readonly recordAppend: store.AppendObserver;
  /** Adds a line to the traces of the jobs that are sent at about this time. */
  readonly note: (text: string) => void;
  /** Names the entries that refused, appended and started a job. */
  summarize(jobId: string, sources: TraceSources): string;
  /** Lists what is known about a job, in the order of time. */
  format(jobId: string, sources: TraceSources): string;
}

/** A line; its time is that of this process's monotonic clock. */
interface TraceLine {
  readonly at: number;
  readonly text: string;
}

interface ObservedAppend extends TraceLine {
  readonly caller: string;
  readonly keys: string;
}

/** Notes from this time before a job was sent are part of its trace. */
const CONTEXT_MS = 8_000;
const TIME_PATTERN = /\btime=(\S+)/;

/** Creates an empty trace. */
export function createJobTrace(): JobTrace {
  const appends: ObservedAppend[] = [];
  const notes: TraceLine[] = [];

  const appendsOf = (jobId: string) =>
    appends.filter(({keys}) => keys.includes(jobId));

  return {
    note: (text) => void notes.push({at: performance.now(), text}),
    recordAppend(caller, {topic, entries}, outcome) {
      const keys = entries.map(({key}) => key).join(' ');
      const offset =
        outcome.type === 'appended' ? ` at ${outcome.firstOffset}` : '';
      const text = `store: ${caller} appends ${entries.length} records to ${topic}: ${outcome.type}${offset}`;
      appends.push({at: performance.now(), text, caller, keys});
    },
    summarize(jobId, {cell, tries}) {
      const refusedBy = tries
        .filter((one) => one.jobId === jobId && one.answer === 'refused')
        .map(({entry}) => entry);
      const relayedBy = namesOfLogs(cell, jobId, /call_relayed.*mayStand=true/);
      const startedBy = namesOfLogs(cell, jobId, /start_answered.*=started/);
      const [first] = appendsOf(jobId);
      return [
        `refused by ${listNames(refusedBy)}`,
        `relayed with unknown effect by ${listNames(relayedBy)}`,
        `first appended by ${first?.caller ?? 'no entry'}`,
        `started by ${listNames(startedBy)}`,
      ].join('; ');
    },
    format(jobId, {cell, tries}) {
      const events = cell.model.history
        .events()
        .filter((event) => JSON.stringify(event).includes(jobId));
      const firstAt = events[0]?.at ?? 0;
      const lastAt = events.at(-1)?.at ?? Infinity;
      const lines: TraceLine[] = [
        ...notes.filter(({at}) => at > firstAt - CONTEXT_MS && at < lastAt),
        ...appendsOf(jobId),
        ...tries.filter((one) => one.jobId === jobId).flatMap(describeTry),
        ...events.map(({at, ...event}) => ({
          at,
          text: `history: ${JSON.stringify(event)}`,
        })),
        ...cell.entries.flatMap((entry) =>
          readLog(entry.logFile, jobId).map(({at, text}) => ({
            at,
            text: `${entry.name}: ${text}`,
          })),
        ),
      ];
      return lines
        .sort((left, right) => left.at - right.at)
        .map(({at, text}) => `${formatSeconds(at - firstAt)} ${text}`)
        .join('\n');
    },
  };
}

function describeTry(one: jobStream.ObservedTry, nth: number): TraceLine[] {
  const call = `caller: ${one.kind} ${nth + 1} at ${one.entry}`;
  return [
    {at: one.sentAt, text: call},
    {at: one.answeredAt, text: `${call} answered: ${one.answer}`},
  ];
}

/** The entries whose logs have such a line about the job. */
function namesOfLogs(
  cell: emulatedCell.EmulatedCell,
  jobId: string,
  pattern: RegExp,
): string[] {
  return cell.entries
    .filter((entry) =>
      readLog(entry.logFile, jobId).some(({text}) => pattern.test(text)),
    )
    .map(({name}) => name);
}

/** Reads the lines that name the job. */
function readLog(file: string, jobId: string): TraceLine[] {
  return fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.includes(jobId))
    .map((text) => {
      const wallMs = Date.parse(TIME_PATTERN.exec(text)?.[1] ?? '');
      return {at: wallMs - performance.timeOrigin, text};
    });
}

function listNames(names: readonly string[]): string {
  return names.length === 0 ? 'no entry' : [...new Set(names)].join(', ');
}

function formatSeconds(spanMs: number): string {
  return (spanMs / 1_000).toFixed(3).padStart(8);
}
