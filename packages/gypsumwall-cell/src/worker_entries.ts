/**
 * The sessions of a holder with its workers: one for each incarnation. A worker
 * is stored as used before anything new is sent to it.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as silentWorkers from './silent_workers.js';
import type * as unansweredStarts from './unanswered_starts.js';
import type * as workerRosterTypes from './worker_roster_types.js';

/** The workers that are listed or may still run attempts. */
export interface WorkerEntries {
  readonly entries: ReadonlyMap<
    types.ids.WorkerId,
    workerRosterTypes.RosterEntry
  >;
  /** Opens a session; `isRecorded` if the worker is stored as used already. */
  add(
    info: scheduling.workerRegistry.WorkerInfo,
    listed: boolean,
    isRecorded: boolean,
  ): workerRosterTypes.RosterEntry;
  /** Replaces a worker by its next incarnation, which holds nothing of it. */
  restart(
    before: workerRosterTypes.RosterEntry,
    info: scheduling.workerRegistry.WorkerInfo,
    seenIn: 'list' | 'answer',
  ): workerRosterTypes.RosterEntry;
  /** How an incarnation has ended that is certainly over. */
  endOf(
    entry: workerRosterTypes.RosterEntry,
  ): scheduling.schedulerTypes.IncarnationEnd;
  remove(
    id: types.ids.WorkerId,
    cause: scheduling.schedulerTypes.WorkerLoss,
    reason: string,
  ): void;
  /** Number of workers whose removal isn't stored yet. */
  unstoredRemovals(): number;
  close(): void;
}

/**
 * Another worker has the address of one that has left no sooner than this after
 * the announcement was stored; an older copy of the list may lack it. Longer than
 * a read of the list may wait for a change; milliseconds.
 */
const MIN_REUSE_DELAY_MS = 3_500;

/** Creates an empty set of workers. */
export function createWorkerEntries(
  options: workerRosterTypes.RosterOptions,
): WorkerEntries {
  const {clock, logger, scheduler} = options;
  const entries = new Map<types.ids.WorkerId, workerRosterTypes.RosterEntry>();
  const recentlySilent = silentWorkers.createSilentWorkers(clock);
  let unstoredRemovals = 0;
  let isClosed = false;

  function endOf({
    info,
    session,
    listed,
    missedRemoval,
  }: workerRosterTypes.RosterEntry): scheduling.schedulerTypes.IncarnationEnd {
    if (info.draining) return 'left';
    // The record of an earlier holder doesn't say whether the worker leaves.
    if (!session.hasReported()) return listed ? 'crashed' : 'unknown';
    if (missedRemoval) return 'unknown';
    const ageMs = clock.monotonic() - (options.listReadUntil() ?? 0);
    return ageMs > MIN_REUSE_DELAY_MS ? 'unknown' : 'crashed';
  }

  function addWorker(
    info: scheduling.workerRegistry.WorkerInfo,
    listed: boolean,
    isRecorded: boolean,
  ): workerRosterTypes.RosterEntry {
    const {crashed, starts} = recentlySilent.take(info);
    if (crashed !== undefined) {
      scheduler.removeWorker(crashed, 'crashed', clock.monotonic());
    }
    return openEntry(info, listed, isRecorded, starts);
  }

  function openEntry(
    info: scheduling.workerRegistry.WorkerInfo,
    listed: boolean,
    isRecorded: boolean,
    earlierStarts?: readonly unansweredStarts.UnansweredStart[],
  ): workerRosterTypes.RosterEntry {
    const session = options.openSession(info, isRecorded, earlierStarts);
    const entry: workerRosterTypes.RosterEntry = {
      info,
      listed,
      session,
      times: {},
      missedRemoval: false,
      isCurrent: true,
      isEvacuating: false,
    };
    entries.set(info.id, entry);
    logger.info('worker_found', {
      worker: info.id,
      listed,
      domain: info.domain,
      cpuMillis: info.capacity.cpuMillis,
      bornMs: info.bornMs,
    });
    if (earlierStarts !== undefined) void session.stopEarlierStarts();
    void recordAndRun(entry, isRecorded);
    return entry;
  }

  async function recordAndRun(
    entry: workerRosterTypes.RosterEntry,
    isRecorded: boolean,
  ): Promise<void> {
    const {info} = entry;
    if (!isRecorded) {
      const worker = {info};
      await options.write([{kind: 'used_worker', workerId: info.id, worker}]);
    }
    if (!isClosed && entries.get(info.id) === entry) await entry.session.run();
  }

  /**
   * Replaces a worker by its next incarnation, which holds nothing of it. Its
   * earlier holders' orders may still reach the new one, so the failover
   * barrier waits for the answer of that one.
   */
  function restartWorker(
    before: workerRosterTypes.RosterEntry,
    info: scheduling.workerRegistry.WorkerInfo,
    seenIn: 'list' | 'answer',
  ): workerRosterTypes.RosterEntry {
    const {id, bornMs} = info;
    const cause = endOf(before);
    const starts = before.session.unansweredStarts();
    logger.info('worker_restarted', {
      worker: id,
      bornMs,
      beforeBornMs: before.info.bornMs,
      cause,
      seenIn,
      unansweredStarts: starts.length,
    });
    before.session.close();
    scheduler.restartWorker(info, cause, clock.monotonic());
    // A successor that finds the new incarnation must find the consequences of
    // the crash too.
    void options.flush();
    return openEntry(info, seenIn === 'list', false, starts);
  }

  function removeWorker(
    id: types.ids.WorkerId,
    cause: scheduling.schedulerTypes.WorkerLoss,
    reason: string,
  ): void {
    const entry = entries.get(id);
    if (entry === undefined) return;
    logger.info('worker_gone', {worker: id, cause, reason});
    entries.delete(id);
    entry.session.close();
    const starts = entry.session.unansweredStarts();
    const mayHaveCrashed = cause === 'silent' && !entry.info.draining;
    if (mayHaveCrashed) recentlySilent.add(entry.info, starts);
    else recentlySilent.addEnded(id, starts);
    scheduler.removeWorker(id, cause, clock.monotonic());
    // A successor that doesn't find the worker must find the consequences of
    // its crash instead.
    void options.flush();
    void storeRemoval(id);
    options.onChange();
  }

  async function storeRemoval(id: types.ids.WorkerId): Promise<void> {
    unstoredRemovals++;
    const worker = undefined;
    await options.write([{kind: 'used_worker', workerId: id, worker}]);
    unstoredRemovals--;
  }

  return {
    entries,
    add: addWorker,
    restart: restartWorker,
    endOf,
    remove: removeWorker,
    unstoredRemovals: () => unstoredRemovals,
    close() {
      isClosed = true;
      for (const entry of entries.values()) entry.session.close();
    },
  };
}
