/**
 * A model of entries that share one upstream and read a list with a lag. For
 * each tick, a script defines what happens to each entry. Entries always use
 * their whole share.
 */
import type * as types from '@gypsumwall/types';

/** What happens to an entry in one tick. */
export interface EntryTick {
  readonly event:
    'none' | 'join' | 'stop' | 'die' | 'drop' | 'relist' | 'pause' | 'wake';
  /** Whether the entry reads the list in this tick. */
  readonly reads: boolean;
  /** The age of the list that the entry reads, in ticks; at most the lag. */
  readonly age: number;
  /** The duration of the requests sent in this tick, in ticks. */
  readonly lasts: number;
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
  state: 'absent' | 'running' | 'stopping' | 'paused' | 'gone';
  listed: boolean;
  /** The tick of the last list that the entry read. */
  readTick: number;
  /** The ticks at which its requests end at the upstream. */
  ends: number[];
}

/** The number of slots of the upstream. */
export const TOTAL_SLOTS = 8;
const UPSTREAM = 'u0';

/** Runs a script and returns the maximum number of slots in use. */
export function mostSlotsInUse(
  script: ReadonlyArray<readonly EntryTick[]>,
  makeShares: (id: string) => ModelShares,
): number {
  const entries = (script[0] ?? []).map((_, index) => makeEntry(index));
  const lists: string[][] = [];
  let most = 0;
  script.forEach((tick, now) => {
    for (const one of entries) one.ends = one.ends.filter((end) => end > now);
    entries.forEach((one, index) => befall(one, tick[index], makeShares));
    lists.push(entries.filter((one) => one.listed).map((one) => one.id));
    entries.forEach((one, index) => act(one, tick[index], now, lists));
    const used = entries.reduce((sum, one) => sum + one.ends.length, 0);
    most = Math.max(most, used);
  });
  return most;
}

function makeEntry(index: number): ModelEntry {
  const id = `e${index}`;
  return {id, state: 'absent', listed: false, readTick: 0, ends: []};
}

function befall(
  one: ModelEntry,
  tick: EntryTick | undefined,
  makeShares: (id: string) => ModelShares,
): void {
  const alive = one.state !== 'absent' && one.state !== 'gone';
  switch (tick?.event) {
    case 'join':
      if (one.state !== 'absent') return;
      one.shares = makeShares(one.id);
      one.state = 'running';
      one.listed = true;
      return;
    case 'stop':
      if (one.state === 'running') one.state = 'stopping';
      return;
    case 'die':
      // Its requests go on at the upstream, and it is still listed for a while.
      if (alive) one.state = 'gone';
      return;
    case 'drop':
      one.listed = false;
      return;
    case 'relist':
      if (alive) one.listed = true;
      return;
    case 'pause':
      if (one.state === 'running') one.state = 'paused';
      return;
    case 'wake':
      if (one.state === 'paused') one.state = 'running';
      return;
    case 'none':
    case undefined:
      return;
  }
}

function act(
  one: ModelEntry,
  tick: EntryTick | undefined,
  now: number,
  lists: readonly string[][],
): void {
  if (tick === undefined) return;
  if (one.state === 'stopping' && one.ends.length === 0) {
    one.state = 'gone';
    one.listed = false;
  }
  if (one.state !== 'running') return;
  // An entry that resumes sends requests before it reads the list again.
  send(one, tick, now);
  if (!tick.reads) return;
  one.readTick = Math.max(one.readTick, now - tick.age);
  const moment = now as types.clock.MonotonicMs;
  one.shares?.observe(lists[one.readTick] ?? [], moment);
  send(one, tick, now);
}

function send(one: ModelEntry, tick: EntryTick, now: number): void {
  const {shares} = one;
  if (shares === undefined) return;
  if (shares.isStale(now as types.clock.MonotonicMs)) return;
  const share = shares.shareOf(UPSTREAM, TOTAL_SLOTS);
  while (one.ends.length < share) one.ends.push(now + tick.lasts);
}
