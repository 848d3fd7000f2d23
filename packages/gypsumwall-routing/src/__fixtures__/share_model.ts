/**
 * A model of entries that share one upstream and read a list with a lag. For
 * each tick, a script defines what happens to each entry. Entries always use
 * their whole share.
 */
import type * as types from '@gypsumwall/types';

/** What happens to an entry in one tick. */
export interface EntryTick {
  readonly event:
    'none' | 'join' | 'stop' | 'crash' | 'drop' | 'relist' | 'pause' | 'resume';
  /** Whether the entry reads the list in this tick. */
  readonly readsList: boolean;
  /** The age of the list that the entry reads, in ticks; at most the lag. */
  readonly listAgeTicks: number;
  /** The duration of the requests sent in this tick, in ticks. */
  readonly requestTicks: number;
}

/** The part of `SlotShares` that the model uses. */
export interface ModelShares {
  observe(entries: readonly string[], now: types.clock.MonotonicMs): void;
  isStale(now: types.clock.MonotonicMs): boolean;
  shareOf(upstream: string, total: number): number;
}

interface ModelEntry {
  readonly id: string;
  shares?: ModelShares;
  state: 'absent' | 'running' | 'stopping' | 'paused' | 'ended';
  isListed: boolean;
  /** The tick of the last list that the entry read. */
  readTick: number;
  /** The ticks at which its requests end at the upstream. */
  requestEnds: number[];
}

/** The number of slots of the upstream. */
export const TOTAL_SLOTS = 8;
const UPSTREAM = 'u0';

/** Runs a script and returns the maximum number of slots in use. */
export function maxSlotsInUse(
  script: ReadonlyArray<readonly EntryTick[]>,
  makeShares: (id: string) => ModelShares,
): number {
  const entries = (script[0] ?? []).map((_, index) => makeEntry(index));
  const lists: string[][] = [];
  let maxInUse = 0;
  script.forEach((tick, now) => {
    for (const one of entries)
      one.requestEnds = one.requestEnds.filter((end) => end > now);
    entries.forEach((one, index) => applyEvent(one, tick[index], makeShares));
    lists.push(entries.filter((one) => one.isListed).map((one) => one.id));
    entries.forEach((one, index) => advanceEntry(one, tick[index], now, lists));
    const used = entries.reduce((sum, one) => sum + one.requestEnds.length, 0);
    maxInUse = Math.max(maxInUse, used);
  });
  return maxInUse;
}

function makeEntry(index: number): ModelEntry {
  const id = `e${index}`;
  return {id, state: 'absent', isListed: false, readTick: 0, requestEnds: []};
}

function applyEvent(
  entry: ModelEntry,
  tick: EntryTick | undefined,
  makeShares: (id: string) => ModelShares,
): void {
  const isAlive = entry.state !== 'absent' && entry.state !== 'ended';
  switch (tick?.event) {
    case 'join':
      if (entry.state !== 'absent') return;
      entry.shares = makeShares(entry.id);
      entry.state = 'running';
      entry.isListed = true;
      return;
    case 'stop':
      if (entry.state === 'running') entry.state = 'stopping';
      return;
    case 'crash':
      // Its requests go on at the upstream, and it is still listed for a while.
      if (isAlive) entry.state = 'ended';
      return;
    case 'drop':
      entry.isListed = false;
      return;
    case 'relist':
      if (isAlive) entry.isListed = true;
      return;
    case 'pause':
      if (entry.state === 'running') entry.state = 'paused';
      return;
    case 'resume':
      if (entry.state === 'paused') entry.state = 'running';
      return;
    case 'none':
    case undefined:
      return;
  }
}

function advanceEntry(
  entry: ModelEntry,
  tick: EntryTick | undefined,
  now: number,
  lists: readonly string[][],
): void {
  if (tick === undefined) return;
  if (entry.state === 'stopping' && entry.requestEnds.length === 0) {
    entry.state = 'ended';
    entry.isListed = false;
  }
  if (entry.state !== 'running') return;
  // An entry that resumes sends requests before it reads the list again.
  send(entry, tick, now);
  if (!tick.readsList) return;
  entry.readTick = Math.max(entry.readTick, now - tick.listAgeTicks);
  const nowMs = now as types.clock.MonotonicMs;
  entry.shares?.observe(lists[entry.readTick] ?? [], nowMs);
  send(entry, tick, now);
}

function send(entry: ModelEntry, tick: EntryTick, now: number): void {
  const {shares} = entry;
  if (shares === undefined) return;
  if (shares.isStale(now as types.clock.MonotonicMs)) return;
  const share = shares.shareOf(UPSTREAM, TOTAL_SLOTS);
  while (entry.requestEnds.length < share)
    entry.requestEnds.push(now + tick.requestTicks);
}
