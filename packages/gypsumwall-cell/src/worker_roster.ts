/**
 * The workers of a holder: applies the platform's list, and what sessions find
 * out about their workers.
 */
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as listEntryAges from './list_entry_age.js';
import * as listFaults from './list_faults.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import * as workerEntries from './worker_entries.js';
import type * as workerRosterTypes from './worker_roster_types.js';

/**
 * Time needed to evacuate a leaving worker in addition to the stops themselves:
 * the list is read late, an order may have to be sent twice, and the ended
 * attempts must be reported. Tasks that don't make it wait for the lease to
 * expire; milliseconds.
 */
const EVACUATION_SLACK_MS = 1_000;
/**
 * Time after which a worker that disappeared from the list while it answers is
 * treated as leaving. After an outage of the store all workers may be missing
 * from the list; they are back within two seconds; milliseconds.
 */
const UNLISTED_GRACE_MS = 2_500;

/** Creates an empty roster. */
export function createWorkerRoster(
  options: workerRosterTypes.RosterOptions,
): workerRosterTypes.WorkerRoster {
  const {clock, logger, scheduler} = options;
  const workers = workerEntries.createWorkerEntries(options);
  const {entries} = workers;
  const faults = listFaults.createListFaults(logger);
  const ages = listEntryAges.createListEntryAges(clock, options.listExpiryMs);

  /** The record of the worker, or its list entry, did not say. */
  function learnBirth(
    entry: workerRosterTypes.RosterEntry,
    bornMs: number,
  ): void {
    const {id} = entry.info;
    if (entry.info.bornMs === bornMs) return;
    entry.info = {...entry.info, bornMs};
    const registered = scheduler.workerRegistry.workers.get(id)?.info;
    if (registered !== undefined) scheduler.putWorker({...registered, bornMs});
  }

  /** The new incarnation is used once its own list entry is read. */
  function restartUnlisted(
    before: workerRosterTypes.RosterEntry,
    bornMs: number,
  ): void {
    const info = {...before.info, bornMs, draining: false};
    const entry = workers.restart(before, info, 'answer');
    entry.isCurrent = false;
    scheduler.setCurrent(info.id, false);
    entry.unusedAt = types.clock.after(clock.monotonic(), UNLISTED_GRACE_MS);
    options.onChange();
  }

  function logCapacityChange(
    {id, capacity: before}: scheduling.workerRegistry.WorkerInfo,
    {capacity}: scheduling.workerRegistry.WorkerInfo,
    offset: number,
  ): void {
    const {cpuMillis, memoryMb, accelerators} = capacity;
    const isSame =
      cpuMillis === before.cpuMillis &&
      memoryMb === before.memoryMb &&
      accelerators === before.accelerators;
    if (isSame) return;
    logger.info('worker_capacity_changed', {
      worker: id,
      cpuMillis,
      memoryMb,
      accelerators,
      beforeCpuMillis: before.cpuMillis,
      beforeMemoryMb: before.memoryMb,
      offset,
    });
  }

  function updateWorker(
    listed: ports.ListedWorker,
    offset: number,
    writtenAfter?: logFollower.ClockReading,
  ): void {
    const {leavesInMs, writtenAtMs} = listed;
    const {id, pool} = listed.info;
    const known = entries.get(id);
    const succession = isAtOtherAddress(known, listed.info)
      ? 'later'
      : compareWithKnown(known, listed.info.bornMs);
    if (succession === 'earlier') {
      faults.report(id, `born = ${listed.info.bornMs}: it has restarted since`);
      return;
    }
    const isNew = known === undefined || succession === 'later';
    if (isNew && !options.isUsedPool(pool)) {
      faults.report(id, `pool = ${pool}: no queue uses this pool`);
      // Another program may have written the entry: only an answer proves that
      // the incarnation is over.
      unlist(id);
      return;
    }
    faults.clear(id);
    const bornMs = listed.info.bornMs ?? known?.info.bornMs;
    const info = {...listed.info, bornMs};
    const entry =
      known === undefined
        ? workers.add(info, true, false)
        : succession === 'later'
          ? workers.restart(known, info, 'list')
          : known;
    if (info.draining && !entry.info.draining) {
      logger.info('worker_draining', {worker: info.id, leavesInMs});
      const neededMs = options.longestStopMs + EVACUATION_SLACK_MS;
      const leftMs = (leavesInMs ?? 0) - ages.maximumMs({writtenAfter});
      const spanMs = Math.max(0, leftMs - neededMs);
      entry.evacuateAt = types.clock.after(clock.monotonic(), spanMs);
    }
    if (!info.draining) {
      entry.evacuateAt = undefined;
      entry.isEvacuating = false;
    }
    logCapacityChange(entry.info, info, offset);
    entry.info = info;
    entry.times = {writtenAfter, writtenAtMs};
    entry.listed = true;
    entry.missedRemoval = false;
    entry.unusedAt = undefined;
    scheduler.putWorker(info);
  }

  function compareWithKnown(
    known: workerRosterTypes.RosterEntry | undefined,
    bornMs: number | undefined,
  ): scheduling.workerIncarnation.Succession {
    if (known === undefined) return 'same';
    return scheduling.workerIncarnation.compareBirth(known.info, bornMs);
  }

  /**
   * Whether a worker whose record doesn't say when it started has moved. A life
   * has one address, so the session would never reach the next one. The address
   * proves nothing in an entry that doesn't say when the worker started.
   */
  function isAtOtherAddress(
    known: workerRosterTypes.RosterEntry | undefined,
    {address, bornMs}: scheduling.workerRegistry.WorkerInfo,
  ): boolean {
    if (known === undefined || bornMs === undefined) return false;
    return known.info.bornMs === undefined && known.info.address !== address;
  }

  function unlist(id: types.ids.WorkerId): void {
    const entry = entries.get(id);
    if (entry === undefined || !entry.listed) return;
    entry.listed = false;
    logger.info('worker_unlisted', {worker: id});
    entry.unusedAt = types.clock.after(clock.monotonic(), UNLISTED_GRACE_MS);
  }

  /**
   * Whether a removed worker has left. The list removes a worker that has left,
   * and also one that was silent for too long, which may be cut off and still
   * run tasks. A worker that announced its departure, and whose last list entry
   * is too recent for a removal for silence, must have left.
   */
  function hasLeft(id: types.ids.WorkerId): boolean {
    const entry = entries.get(id);
    if (entry === undefined) return false;
    return entry.info.draining && ages.isRecent(entry.times);
  }

  function onRemoved(id: types.ids.WorkerId): void {
    faults.clear(id);
    if (!hasLeft(id)) {
      unlist(id);
      return;
    }
    workers.remove(id, 'left', 'left as announced');
    options.onLeft(id);
  }

  return {
    applyList(records, reloaded, writtenAfter) {
      if (reloaded) {
        const listedKeys = new Set(records.map((record) => record.key));
        faults.retain(listedKeys);
        for (const [id, entry] of entries) {
          if (listedKeys.has(id)) continue;
          if (entry.listed) entry.missedRemoval = true;
          unlist(id);
        }
      }
      for (const {key, value, offset} of records) {
        if (value === '') {
          onRemoved(types.ids.brand(key));
          continue;
        }
        const decoded = options.decode(key, value);
        if (result.isOk(decoded)) {
          const after = reloaded ? undefined : writtenAfter;
          updateWorker(decoded.value, offset, after);
          continue;
        }
        faults.report(key, decoded.error);
        unlist(types.ids.brand(key));
      }
      options.onChange();
    },
    inherit(records) {
      for (const {info} of records) {
        if (info === undefined || entries.has(info.id)) continue;
        scheduler.putWorker({...info, draining: true});
        workers.add(info, false, true);
      }
    },
    session: (id) => entries.get(id)?.session,
    onGone(id) {
      const entry = entries.get(id);
      const cause = entry === undefined ? 'crashed' : workers.endOf(entry);
      workers.remove(id, cause, 'another incarnation answers at its address');
    },
    isOwnBirth(id, bornMs) {
      const entry = entries.get(id);
      if (entry === undefined) return false;
      switch (compareWithKnown(entry, bornMs)) {
        case 'same':
          learnBirth(entry, bornMs);
          return true;
        case 'later':
          restartUnlisted(entry, bornMs);
          return false;
        case 'earlier':
          return false;
      }
    },
    onLeaseExpired(id) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      if (!entry.listed) {
        workers.remove(
          id,
          'silent',
          'not on the list, and its lease has expired',
        );
        return;
      }
      scheduler.onLeaseExpired(id, clock.monotonic());
      options.onChange();
    },
    tick(now) {
      for (const [id, entry] of entries) {
        if (entry.unusedAt !== undefined && now >= entry.unusedAt) {
          entry.unusedAt = undefined;
          scheduler.putWorker({...entry.info, draining: true});
        }
        if (entry.evacuateAt === undefined || now < entry.evacuateAt) continue;
        if (!entry.isEvacuating) logger.info('worker_evacuated', {worker: id});
        entry.isEvacuating = true;
        // Attempts of an earlier holder may be found there at any time.
        scheduler.evacuate(id);
        options.onChange();
      }
    },
    checkListEntries() {
      for (const [id, entry] of entries) {
        const {session, times, listed} = entry;
        const current = listed && ages.isCurrent(times, session.clockMs());
        if (current === entry.isCurrent) continue;
        entry.isCurrent = current;
        scheduler.setCurrent(id, current);
        const event = current ? 'worker_entry_current' : 'worker_entry_expired';
        const ageMs = ages.onWorkerMs(times, session.clockMs());
        logger.info(event, {
          worker: id,
          listed,
          ageMs: ageMs && Math.round(ageMs),
        });
      }
    },
    removeSilent() {
      for (const [id, entry] of entries) {
        if (entry.listed || entry.session.hasReported()) continue;
        workers.remove(
          id,
          'silent',
          'never answered, and every lease has expired',
        );
      }
    },
    reachableShare(since) {
      const used = entries.size + workers.unstoredRemovals();
      if (used === 0) return 1;
      let reachable = 0;
      for (const {session} of entries.values())
        if (session.isReachable() && session.lastAskedAt() >= since)
          reachable++;
      return reachable / used;
    },
    unusableEntries: () => faults.count(),
    close() {
      workers.close();
    },
  };
}
