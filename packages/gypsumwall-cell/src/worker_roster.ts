/**
 * The holder's sessions: one for each incarnation of a worker that is listed or
 * may still run attempts. A worker is stored as used before anything is sent to
 * it.
 */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import * as silentWorkers from './silent_workers.js';
import type * as storeRecords from './store_records.js';
import type * as workerSession from './worker_session.js';

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
/**
 * Time that an order may take to reach its worker: a list entry must not expire
 * before; milliseconds.
 */
const ORDER_MARGIN_MS = 250;

/**
 * A removal counts as the worker's own as long as its last list entry is
 * younger than this share of the time after which the list removes a silent
 * worker.
 */
const EXPIRY_MARGIN = 0.8;

/**
 * Number of remembered faults, each of which is logged once. Beyond it all are
 * forgotten and logged again.
 */
const MAX_REPORTED_FAULTS = 1_000;

/** Options of a roster. */
export interface RosterOptions {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly decode: (
    key: string,
    value: string,
  ) => result.Result<ports.ListedWorker, string>;
  /**
   * Whether tasks of any queue run in the pool. Workers of other pools aren't
   * called: their list entries may belong to another program, and their
   * addresses to anyone.
   */
  readonly isUsedPool: (pool: string) => boolean;
  /** Maximum time that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /**
   * The list removes a worker when it has left, or after this much silence;
   * milliseconds. Undefined if the platform doesn't specify it.
   */
  readonly listExpiryMs: number | undefined;
  /**
   * A worker that had announced its departure has left: nothing runs there any
   * more.
   */
  readonly onLeft: (worker: types.ids.WorkerId) => void;
  readonly openSession: (
    worker: scheduling.workerRegistry.WorkerInfo,
  ) => workerSession.WorkerSession;
  readonly write: (
    records: readonly storeRecords.StoreRecord[],
  ) => Promise<void>;
  /** Resolves once all progress until now is stored. */
  readonly flush: () => Promise<void>;
  readonly onChange: () => void;
}

/** The workers of a holder. */
export interface WorkerRoster {
  /**
   * Applies records of the platform's list. All of them were written after the
   * given moment; undefined if no such moment is known.
   */
  applyList(
    records: readonly ports.KeyedRecord[],
    reloaded: boolean,
    writtenAfter?: logFollower.ClockReading,
  ): void;
  /** Opens sessions to workers that an earlier holder used. */
  inherit(workers: Iterable<storeRecords.UsedWorkerRecord>): void;
  session(id: types.ids.WorkerId): workerSession.WorkerSession | undefined;
  /** The incarnation has ended. */
  onGone(id: types.ids.WorkerId): void;
  /** The lease of an unreachable worker has expired. */
  onLeaseExpired(id: types.ids.WorkerId): void;
  tick(now: types.clock.MonotonicMs): void;
  /** Closes workers with an expired list entry to new tasks. */
  checkListEntries(): void;
  /**
   * All leases of earlier holders have expired: removes unlisted workers that
   * never answered.
   */
  removeSilent(): void;
  /**
   * Share of the used workers that are reachable and have answered a poll that
   * was sent since then. Includes unlisted ones and those whose removal isn't
   * stored: a successor finds them among the used workers, and its majority
   * must not be disjoint from this holder's.
   */
  reachableShare(since: types.clock.MonotonicMs): number;
  close(): void;
}

interface Entry {
  session: workerSession.WorkerSession;
  info: scheduling.workerRegistry.WorkerInfo;
  listed: boolean;
  /** The newest list entry of the worker was written after this moment. */
  writtenAfter?: logFollower.ClockReading;
  /** When it was written, on the worker's clock. */
  writtenAtMs?: number;
  isCurrent: boolean;
  /** When a worker that disappeared from the list is treated as leaving. */
  unusedAt?: types.clock.MonotonicMs;
  /** From this moment on, all attempts on the worker are stopped. */
  evacuateAt?: types.clock.MonotonicMs;
  isEvacuating: boolean;
}

/** Creates an empty roster. */
export function createWorkerRoster(options: RosterOptions): WorkerRoster {
  const {clock, logger, scheduler} = options;
  const entries = new Map<types.ids.WorkerId, Entry>();
  /** Faults of list entries that couldn't be used, by key. */
  const reportedFaults = new Map<string, string>();
  const recentlySilent = silentWorkers.createSilentWorkers(clock);
  let unstoredRemovals = 0;
  let isClosed = false;

  function addWorker(
    info: scheduling.workerRegistry.WorkerInfo,
    listed: boolean,
    isRecorded: boolean,
  ): Entry {
    const crashed = recentlySilent.takeRestarted(info);
    if (crashed !== undefined) {
      scheduler.removeWorker(crashed, 'crashed', clock.monotonic());
    }
    const session = options.openSession(info);
    const entry: Entry = {
      info,
      listed,
      session,
      isCurrent: true,
      isEvacuating: false,
    };
    entries.set(info.id, entry);
    logger.info('worker_found', {
      worker: info.id,
      listed,
      domain: info.domain,
      cpuMillis: info.capacity.cpuMillis,
    });
    void recordAndRun(entry, isRecorded);
    return entry;
  }

  async function recordAndRun(
    entry: Entry,
    isRecorded: boolean,
  ): Promise<void> {
    const {info} = entry;
    if (!isRecorded) {
      const worker = {info};
      await options.write([{kind: 'used_worker', workerId: info.id, worker}]);
    }
    if (!isClosed && entries.get(info.id) === entry) await entry.session.run();
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
    const {info, leavesInMs, writtenAtMs} = listed;
    if (!entries.has(info.id) && !options.isUsedPool(info.pool)) {
      reportUnreadable(info.id, `pool = ${info.pool}: no queue uses this pool`);
      return;
    }
    const entry = entries.get(info.id) ?? addWorker(info, true, false);
    if (info.draining && !entry.info.draining) {
      logger.info('worker_draining', {worker: info.id, leavesInMs});
      const neededMs = options.longestStopMs + EVACUATION_SLACK_MS;
      const leftMs = (leavesInMs ?? 0) - entryAgeMs(writtenAfter);
      const spanMs = Math.max(0, leftMs - neededMs);
      entry.evacuateAt = types.clock.after(clock.monotonic(), spanMs);
    }
    if (!info.draining) {
      entry.evacuateAt = undefined;
      entry.isEvacuating = false;
    }
    logCapacityChange(entry.info, info, offset);
    entry.info = info;
    entry.writtenAfter = writtenAfter;
    entry.writtenAtMs = writtenAtMs;
    entry.listed = true;
    entry.unusedAt = undefined;
    scheduler.putWorker(info);
  }

  function unlist(id: types.ids.WorkerId): void {
    const entry = entries.get(id);
    if (entry === undefined || !entry.listed) return;
    entry.listed = false;
    logger.info('worker_unlisted', {worker: id});
    entry.unusedAt = types.clock.after(clock.monotonic(), UNLISTED_GRACE_MS);
  }

  /** Age of the newest list entry by the worker's clock, if both are known. */
  function ageOnWorkerMs({session, writtenAtMs}: Entry): number | undefined {
    const nowMs = session.clockMs();
    if (nowMs === undefined || writtenAtMs === undefined) return undefined;
    return nowMs - writtenAtMs;
  }

  /**
   * Whether the capacity in a worker's list entry counts: the list itself keeps
   * an entry no longer than its expiry. It may hold an older one that arrived
   * late, or may not be readable.
   */
  function isCurrent(entry: Entry): boolean {
    if (!entry.listed) return false;
    const ageMs = ageOnWorkerMs(entry);
    const {listExpiryMs} = options;
    if (ageMs === undefined || listExpiryMs === undefined) return true;
    return ageMs <= listExpiryMs - ORDER_MARGIN_MS;
  }

  /**
   * Maximum age of a list entry. A loaded entry may be as old as the list's
   * expiry.
   */
  function entryAgeMs(writtenAfter?: logFollower.ClockReading): number {
    if (writtenAfter === undefined) return options.listExpiryMs ?? 0;
    return clock.monotonic() - writtenAfter.at;
  }

  /**
   * Whether a removed worker has left. The list removes a worker that has left,
   * and also one that was silent for too long, which may be cut off and still
   * run tasks. A worker that announced its departure, and whose last list entry
   * is too recent for a removal for silence, must have left.
   */
  function hasLeft(id: types.ids.WorkerId): boolean {
    const entry = entries.get(id);
    const {listExpiryMs} = options;
    if (entry?.writtenAfter === undefined || listExpiryMs === undefined) {
      return false;
    }
    const {at, wall} = entry.writtenAfter;
    // The monotonic clock doesn't count a suspension of this process.
    const silentMs = Math.max(clock.monotonic() - at, clock.wall() - wall);
    return entry.info.draining && silentMs < listExpiryMs * EXPIRY_MARGIN;
  }

  function onRemoved(id: types.ids.WorkerId): void {
    if (!hasLeft(id)) {
      unlist(id);
      return;
    }
    removeWorker(id, 'left', 'left as announced');
    options.onLeft(id);
  }

  /**
   * Logs each fault once, because a bad list entry may be rewritten every
   * second.
   */
  function reportUnreadable(key: string, error: string): void {
    if (reportedFaults.get(key) === error) return;
    if (reportedFaults.size >= MAX_REPORTED_FAULTS) reportedFaults.clear();
    reportedFaults.set(key, error);
    logger.warn('worker_unreadable', {key, error});
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
    if (cause === 'silent') recentlySilent.add(entry.info);
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
    applyList(records, reloaded, writtenAfter) {
      if (reloaded) {
        const listedKeys = new Set(records.map((record) => record.key));
        for (const id of entries.keys()) if (!listedKeys.has(id)) unlist(id);
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
        reportUnreadable(key, decoded.error);
        unlist(types.ids.brand(key));
      }
      options.onChange();
    },
    inherit(workers) {
      for (const {info} of workers) {
        if (entries.has(info.id)) continue;
        scheduler.putWorker({...info, draining: true});
        addWorker(info, false, true);
      }
    },
    session: (id) => entries.get(id)?.session,
    onGone(id) {
      const announced = entries.get(id)?.info.draining === true;
      const cause = announced ? 'left' : 'crashed';
      removeWorker(id, cause, 'another incarnation answers at its address');
    },
    onLeaseExpired(id) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      if (!entry.listed) {
        removeWorker(
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
        const current = isCurrent(entry);
        if (current === entry.isCurrent) continue;
        entry.isCurrent = current;
        scheduler.setCurrent(id, current);
        const event = current ? 'worker_entry_current' : 'worker_entry_expired';
        const {listed} = entry;
        const ageMs = ageOnWorkerMs(entry);
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
        removeWorker(
          id,
          'silent',
          'never answered, and every lease has expired',
        );
      }
    },
    reachableShare(since) {
      const used = entries.size + unstoredRemovals;
      if (used === 0) return 1;
      let reachable = 0;
      for (const {session} of entries.values())
        if (session.isReachable() && session.lastAskedAt() >= since)
          reachable++;
      return reachable / used;
    },
    close() {
      isClosed = true;
      for (const entry of entries.values()) entry.session.close();
    },
  };
}
