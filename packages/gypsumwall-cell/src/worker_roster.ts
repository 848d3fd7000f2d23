/**
 * The holder's sessions: one for each stay of a worker that is listed or may
 * still hold runs. A worker is recorded as used before anything is sent to it.
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
 * Time beside the stops themselves to empty a worker that leaves: the list is
 * read late, an order may have to be sent twice, and the ends have to be heard.
 * Whoever misses them waits for the lease to pass; milliseconds.
 */
const EVACUATION_SLACK_MS = 1_000;
/**
 * A worker that drops off the list while it answers is used on for so long:
 * after an outage of the store all entries may be missing, and come back
 * within two seconds; milliseconds.
 */
const UNLISTED_GRACE_MS = 2_500;

/**
 * A removal counts as the worker's own while its last entry can't be older than
 * this share of the time after which a silent one is removed.
 */
const EXPIRY_MARGIN = 0.8;

/** Faults remembered, so that each is told once; then told anew. */
const MOST_UNREADABLE = 1_000;

/** What a roster is made with. */
export interface RosterOptions {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly decode: (
    key: string,
    value: string,
  ) => result.Result<ports.ListedWorker, string>;
  /**
   * Whether any queue's tasks run in the pool. Workers of others aren't called:
   * their entries may be another program's, and their addresses anyone's.
   */
  readonly isUsedPool: (pool: string) => boolean;
  /** The longest that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /**
   * The list removes a worker when it has left, or when it was silent for this
   * long; milliseconds. Undefined where the platform doesn't tell.
   */
  readonly listExpiryMs: number | undefined;
  /** A worker that had announced it has left: nothing runs there any more. */
  readonly onLeft: (worker: types.ids.WorkerId) => void;
  readonly openSession: (
    worker: scheduling.workerRegistry.WorkerInfo,
  ) => workerSession.WorkerSession;
  readonly write: (
    records: readonly storeRecords.StoreRecord[],
  ) => Promise<void>;
  /** Resolves once all progress up to now stands in the store. */
  readonly flush: () => Promise<void>;
  readonly onChange: () => void;
}

/** The workers of a holder. */
export interface WorkerRoster {
  /**
   * Folds records of the platform's list, all written later than the time that
   * is given; undefined if that isn't known.
   */
  applyList(
    records: readonly ports.KeyedRecord[],
    reloaded: boolean,
    writtenAfter?: logFollower.ClockReading,
  ): void;
  /** Opens sessions to workers that an earlier holder used. */
  inherit(workers: Iterable<storeRecords.UsedWorkerRecord>): void;
  session(id: types.ids.WorkerId): workerSession.WorkerSession | undefined;
  /** The stay is over. */
  gone(id: types.ids.WorkerId): void;
  /** The lease of a worker out of reach has passed. */
  leasePassed(id: types.ids.WorkerId): void;
  tick(now: types.clock.MonotonicMs): void;
  /** All leases of earlier holders have passed: forgets who never answered. */
  forgetSilent(): void;
  reachableShare(): number;
  close(): void;
}

interface Entry {
  session: workerSession.WorkerSession;
  info: scheduling.workerRegistry.WorkerInfo;
  listed: boolean;
  /** Its newest entry in the list is younger than this. */
  writtenAfter?: logFollower.ClockReading;
  /** When a worker that dropped off the list is used no more. */
  unusedAt?: types.clock.MonotonicMs;
  /** From when on all that runs there is stopped. */
  evacuateAt?: types.clock.MonotonicMs;
  evacuating: boolean;
}

/** Creates an empty roster. */
export function createWorkerRoster(options: RosterOptions): WorkerRoster {
  const {clock, logger, scheduler} = options;
  const entries = new Map<types.ids.WorkerId, Entry>();
  /** What was wrong with entries that couldn't be read, by key. */
  const unreadable = new Map<string, string>();
  const silent = silentWorkers.createSilentWorkers(clock);
  let closed = false;

  function open(
    info: scheduling.workerRegistry.WorkerInfo,
    listed: boolean,
    recorded: boolean,
  ): Entry {
    const crashed = silent.takeRestarted(info);
    if (crashed !== undefined) {
      scheduler.removeWorker(crashed, 'crashed', clock.monotonic());
    }
    const session = options.openSession(info);
    const entry: Entry = {info, listed, session, evacuating: false};
    entries.set(info.id, entry);
    logger.info('worker_found', {
      worker: info.id,
      listed,
      domain: info.domain,
      cpuMillis: info.capacity.cpuMillis,
    });
    void recordAndRun(entry, recorded);
    return entry;
  }

  async function recordAndRun(entry: Entry, recorded: boolean): Promise<void> {
    const {info} = entry;
    if (!recorded) {
      const worker = {info};
      await options.write([{kind: 'used_worker', workerId: info.id, worker}]);
    }
    if (!closed && entries.get(info.id) === entry) await entry.session.run();
  }

  function put(
    listed: ports.ListedWorker,
    writtenAfter?: logFollower.ClockReading,
  ): void {
    const {info, leavesInMs} = listed;
    if (!entries.has(info.id) && !options.isUsedPool(info.pool)) {
      noteUnreadable(info.id, `pool = ${info.pool}: no queue runs there`);
      return;
    }
    const entry = entries.get(info.id) ?? open(info, true, false);
    if (info.draining && !entry.info.draining) {
      logger.info('worker_draining', {worker: info.id, leavesInMs});
      const neededMs = options.longestStopMs + EVACUATION_SLACK_MS;
      const leftMs = (leavesInMs ?? 0) - entryAgeMs(writtenAfter);
      const spanMs = Math.max(0, leftMs - neededMs);
      entry.evacuateAt = types.clock.after(clock.monotonic(), spanMs);
    }
    if (!info.draining) {
      entry.evacuateAt = undefined;
      entry.evacuating = false;
    }
    entry.info = info;
    entry.writtenAfter = writtenAfter;
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

  /** How old an entry may be; one that was loaded, as old as the list keeps. */
  function entryAgeMs(writtenAfter?: logFollower.ClockReading): number {
    if (writtenAfter === undefined) return options.listExpiryMs ?? 0;
    return clock.monotonic() - writtenAfter.at;
  }

  /**
   * The list drops a worker that has left, and one that is silent for so long,
   * which may be cut off and run on. One that announced that it leaves and
   * wrote its entry more lately than that can't have been dropped for silence.
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

  function removed(id: types.ids.WorkerId): void {
    if (!hasLeft(id)) {
      unlist(id);
      return;
    }
    forget(id, 'left', 'as announced');
    options.onLeft(id);
  }

  /**
   * Whoever writes a bad entry may write it every second: the log tells each
   * fault once.
   */
  function noteUnreadable(key: string, error: string): void {
    if (unreadable.get(key) === error) return;
    if (unreadable.size >= MOST_UNREADABLE) unreadable.clear();
    unreadable.set(key, error);
    logger.warn('worker_unreadable', {key, error});
  }

  function forget(
    id: types.ids.WorkerId,
    cause: scheduling.schedulerTypes.WorkerLoss,
    reason: string,
  ): void {
    const entry = entries.get(id);
    if (entry === undefined) return;
    logger.info('worker_gone', {worker: id, cause, reason});
    entries.delete(id);
    entry.session.close();
    if (cause === 'silent') silent.note(entry.info);
    scheduler.removeWorker(id, cause, clock.monotonic());
    // A successor that doesn't find the worker must find what its crash means.
    void options.flush();
    void options.write([
      {kind: 'used_worker', workerId: id, worker: undefined},
    ]);
    options.onChange();
  }

  return {
    applyList(records, reloaded, writtenAfter) {
      if (reloaded) {
        const named = new Set(records.map((record) => record.key));
        for (const id of entries.keys()) if (!named.has(id)) unlist(id);
      }
      for (const {key, value} of records) {
        if (value === '') {
          removed(types.ids.brand(key));
          continue;
        }
        const decoded = options.decode(key, value);
        if (result.isOk(decoded)) {
          put(decoded.value, reloaded ? undefined : writtenAfter);
          continue;
        }
        noteUnreadable(key, decoded.error);
        unlist(types.ids.brand(key));
      }
      options.onChange();
    },
    inherit(workers) {
      for (const {info} of workers) {
        if (entries.has(info.id)) continue;
        scheduler.putWorker({...info, draining: true});
        open(info, false, true);
      }
    },
    session: (id) => entries.get(id)?.session,
    gone(id) {
      const announced = entries.get(id)?.info.draining === true;
      const cause = announced ? 'left' : 'crashed';
      forget(id, cause, 'another stay answers there');
    },
    leasePassed(id) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      if (!entry.listed) {
        forget(id, 'silent', 'off the list, and its lease has passed');
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
        if (!entry.evacuating) logger.info('worker_evacuated', {worker: id});
        entry.evacuating = true;
        // Runs of an earlier holder may be found there at any time.
        scheduler.evacuate(id);
        options.onChange();
      }
    },
    forgetSilent() {
      for (const [id, entry] of entries) {
        if (entry.listed || entry.session.hasReported()) continue;
        forget(id, 'silent', 'it never answered, and every lease has passed');
      }
    },
    reachableShare() {
      const listed = [...entries.values()].filter((entry) => entry.listed);
      if (listed.length === 0) return 1;
      const reachable = listed.filter((entry) => entry.session.isReachable());
      return reachable.length / listed.length;
    },
    close() {
      closed = true;
      for (const entry of entries.values()) entry.session.close();
    },
  };
}
