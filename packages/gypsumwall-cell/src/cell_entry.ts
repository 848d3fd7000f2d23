/**
 * One entry of a cell: follows the logs, serves callers, and holds the cell
 * when nobody else does.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from './cell_entry_types.js';
import * as cellHolder from './cell_holder.js';
import type * as cellHolderTypes from './cell_holder_types.js';
import * as cellStates from './cell_state.js';
import * as claimView from './claim_view.js';
import * as configKeeper from './config_keeper.js';
import * as election from './election.js';
import * as entryRegistration from './entry_registration.js';
import * as jobService from './job_service.js';
import * as holderProbes from './holder_probe.js';
import * as jobTables from './job_table.js';
import * as logFollower from './log_follower.js';
import * as peerDirectory from './peer_directory.js';
import type * as ports from './ports.js';
import * as forwardingJobService from './forwarding_job_service.js';
import * as standbyChoice from './standby_choice.js';
import * as storeProbe from './store_probe.js';
import * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';
import * as pauseDetector from './pause_detector.js';
import * as failoverPolicy from './failover_policy.js';
import * as applyRecords from './apply_records.js';
import * as retention from './retention.js';

/**
 * A standby reads the holder's log this often, so that it notices a silent
 * holder in time; milliseconds.
 */
const STANDBY_PAUSE_MS = 120;
/**
 * Everybody else reads it this seldom, and at once when a caller asks. What has
 * come since the last read must be short: on a slow link the caller waits for
 * all of it; milliseconds.
 */
const OBSERVER_PAUSE_MS = 200;
/**
 * Only the holder is in a hurry to read the log of jobs. A copy stays well
 * below the age up to which it may be counted in; milliseconds.
 */
const JOBS_PAUSE_MS = 500;
/** A store that went silent is noticed this much later; milliseconds. */
const FOLLOW_WAIT_MS = 250;
/** The configuration changes seldom; milliseconds. */
const CONFIG_WAIT_MS = 1_000;
/** An entry without store or peers takes itself out after so long; ms. */
const UNREADY_AFTER_MS = 400;
/** A change of the configuration is in force this much later at most. */
const CONFIG_PAUSE_MS = 100;
/** The holder reads new jobs almost at once; milliseconds. */
const HOLDER_PAUSE_MS = 6;

/** Creates an entry that does nothing before it is started. */
export function createCellEntry(
  options: cellEntryTypes.CellEntryOptions,
): cellEntryTypes.CellEntry {
  const {self, logs, clock, logger} = options;
  const stopping = new AbortController();
  const state = cellStates.createCellState();
  const pulse = storeHealth.createStoreHealth();
  const peers = peerDirectory.createPeerDirectory(self.instance, clock);
  const suspension = pauseDetector.createPauseDetector(clock);
  let holder: cellHolderTypes.CellHolder | undefined;
  let leaving = false;
  let takeovers: types.clock.MonotonicMs[] = [];
  let lastRecordAt = clock.monotonic();
  let reachableAt = clock.monotonic();

  const configs = configKeeper.createConfigKeeper({
    decode: options.decodeConfig,
    logger,
    onChanged: () => holder?.policiesChanged(),
  });
  const jobs = jobTables.createJobTable({
    onAdded: (job) => holder?.jobAdded(job),
    onCancelled: (id) => holder?.jobCancelled(id),
  });
  const configFollower = logFollower.createLogFollower({
    log: logs.config,
    clock,
    logger,
    storeHealth: pulse,
    onRecords: (records) => records.forEach((record) => configs.apply(record)),
    pauseMs: () => CONFIG_PAUSE_MS,
    readWaitMs: CONFIG_WAIT_MS,
  });
  const jobsFollower = logFollower.createLogFollower({
    log: logs.jobs,
    clock,
    logger,
    storeHealth: pulse,
    onRecords(records, reloaded) {
      if (reloaded) {
        const named = storeRecords.idsOf<types.ids.JobId>('job', records);
        jobs.keepRequests(named, clock.monotonic());
      }
      applyRecords.applyRecords(records, logger, applyJobRecord);
    },
    pauseMs: () => (holder === undefined ? JOBS_PAUSE_MS : HOLDER_PAUSE_MS),
    readWaitMs: FOLLOW_WAIT_MS,
  });
  const cellFollower = logFollower.createLogFollower({
    log: logs.cell,
    clock,
    logger,
    storeHealth: pulse,
    onRecords(records, reloaded) {
      // One that can't be read shows that the holder lives all the same.
      lastRecordAt = clock.monotonic();
      if (reloaded) keepNamed(records);
      applyRecords.applyRecords(records, logger, applyCellRecord);
    },
    pauseMs: () => (isStandby() ? STANDBY_PAUSE_MS : OBSERVER_PAUSE_MS),
    readWaitMs: FOLLOW_WAIT_MS,
  });
  const ownDesk = jobService.createJobService({
    jobsLog: logs.jobs,
    jobs,
    follower: jobsFollower,
    storeHealth: pulse,
    copyAgeMs,
    catchUp: catchUpOnJobs,
    refreshStates,
    mayHandOn: () => holderElsewhere() !== undefined,
    clock,
    logger,
    couldEverFit,
  });
  const holderProbe = holderProbes.createHolderProbe({
    holder: holderElsewhere,
    silentSince: () =>
      failoverPolicy.silentSince({
        lastRecordAt,
        reachableSince: cellFollower.reachableSince(),
      }),
    ping: (instance, timeoutMs) => peers.ping(instance, timeoutMs),
    isStandby,
    clock,
  });
  const desk = forwardingJobService.createForwardingJobService({
    own: ownDesk,
    peers,
    clock,
    logger,
    storeReachable: () => jobsFollower.reachableSince() !== undefined,
    holder: holderElsewhere,
  });

  function holderElsewhere(): string | undefined {
    const instance = state.claim()?.instance;
    return instance === self.instance ? undefined : instance;
  }

  /**
   * Jobs are accepted in one log, and begun and ended in the other. What was
   * read before a suspension is as old as that lasted, which the clock doesn't
   * tell.
   */
  function copyAgeMs(): number {
    const completeUntil = Math.min(
      jobsFollower.completeUntil() ?? -Infinity,
      cellFollower.completeUntil() ?? -Infinity,
    );
    if (completeUntil <= suspension.lastNoticedAt()) return Infinity;
    return clock.monotonic() - completeUntil;
  }

  /**
   * What was dropped while this entry was away is named by no record that it
   * could read: a load names all there is. Without this, jobs and workers that
   * are long gone were counted, and taken over by this entry as holder.
   */
  function keepNamed(records: readonly ports.KeyedRecord[]): void {
    jobs.keepProgress(storeRecords.idsOf('progress', records));
    state.keepUsedWorkers(storeRecords.idsOf('used_worker', records));
  }

  async function refreshStates(): Promise<boolean> {
    const ageMs = clock.monotonic() - (cellFollower.completeUntil() ?? 0);
    return ageMs <= jobService.FRESH_STATE_MS || cellFollower.catchUp();
  }

  async function catchUpOnJobs(): Promise<boolean> {
    const read = [jobsFollower.catchUp(), cellFollower.catchUp()];
    return (await Promise.all(read)).every((ok) => ok);
  }

  function applyJobRecord(record: storeRecords.StoreRecord): void {
    if (record.kind === 'entry') peers.apply(record.instance, record.entry);
    else jobs.apply(record, clock.monotonic());
  }

  function applyCellRecord(
    record: storeRecords.StoreRecord,
    offset: number,
  ): void {
    const before = state.claim();
    state.apply(record, offset);
    jobs.apply(record, lastRecordAt);
    if (record.kind !== 'claim') return;
    noteLostHolder(before);
    claimRead();
  }

  /** A holder that another has replaced is no way to the adviser either. */
  function noteLostHolder(before: claimView.CellClaim | undefined): void {
    if (before === undefined) return;
    if (before.instance === state.claim()?.instance) return;
    peers.noteLost(before.instance);
    if (before.state === 'held') noteTakeover();
  }

  function noteTakeover(): void {
    const now = clock.monotonic();
    takeovers = takeovers.filter(
      (at) => now - at < failoverPolicy.STORM_WINDOW_MS,
    );
    takeovers.push(now);
  }

  function claimRead(): void {
    const claim = state.claim();
    // A read may be answered after the stop; nothing would end the holder.
    if (claim === undefined || stopping.signal.aborted) return;
    logger.info('claim_read', {...claim});
    if (holder !== undefined && holder.claim.offset !== claim.offset) {
      holder.stop();
      holder = undefined;
    }
    const mine = claim.holder === self.entryId && claim.state === 'held';
    if (mine && holder === undefined && !leaving) becomeHolder(claim);
  }

  function becomeHolder(claim: claimView.CellClaim): void {
    const created = cellHolder.createCellHolder({
      claim,
      cellLog: logs.cell,
      workerLog: logs.workers,
      decodeWorker: options.decodeWorker,
      isUsedPool: (pool) => configs.isUsedPool(pool),
      connect: options.connect,
      advisers: () => peers.advisers().set(self.instance, options.adviser),
      jobs,
      state,
      catchUpJobs: () => jobsFollower.catchUp(),
      policyOf: (queue) => configs.policyOf(queue),
      leaseMs: options.leaseMs,
      longestStopMs: options.longestStopMs,
      listExpiryMs: options.listExpiryMs,
      storeHealth: pulse,
      clock,
      logger,
      onFenced: () => {
        if (holder === created) holder = undefined;
      },
    });
    holder = created;
    void created.start();
  }

  /** Judged by the workers seen so far; with none seen nothing is refused. */
  function couldEverFit(
    pool: string,
    step: scheduling.jobRequest.StepRequest,
  ): boolean {
    let seen = false;
    for (const {info} of state.usedWorkers.values()) {
      if (info.pool !== pool) continue;
      seen = true;
      if (types.resources.fits(step.size, info.capacity)) return true;
    }
    return !seen;
  }

  /**
   * An entry that can't take jobs leaves new callers to others: with the store
   * away for all of them, all are out, and the balancer uses all.
   */
  function isReady(): boolean {
    if (leaving || configs.config() === undefined) return false;
    if (jobsFollower.position() === undefined) return false;
    const now = clock.monotonic();
    if (jobsFollower.reachableSince() !== undefined) reachableAt = now;
    return now - reachableAt < UNREADY_AFTER_MS || desk.relayedLately();
  }

  /** Nobody is before the peers are known. */
  function isStandby(): boolean {
    if (jobsFollower.position() === undefined) return false;
    return standbyChoice.isStandby(self, peers.standbyCandidates());
  }

  function isOutranked(): boolean {
    const peersKnown = jobsFollower.position() !== undefined;
    return !peersKnown || peers.mostCores() > self.cores;
  }

  return {
    jobService: desk,
    localJobService: ownDesk,
    config: () => configs.config(),
    isReady,
    start() {
      void configFollower.run();
      void jobsFollower.run();
      void cellFollower.run();
      void storeProbe.runStoreProbe(
        {log: logs.jobs, follower: jobsFollower, storeHealth: pulse, clock},
        stopping.signal,
      );
      void entryRegistration.registerEntry(
        {self, jobsLog: logs.jobs, clock, logger},
        stopping.signal,
      );
      void holderProbe.run(stopping.signal);
      void election.runElections(
        {
          self,
          cellLog: logs.cell,
          follower: cellFollower,
          claim: () => state.claim(),
          lastRecordAt: () => lastRecordAt,
          isHolderLost: () => holderProbe.isLost(),
          takeovers: () => takeovers,
          isHolder: () => holder !== undefined,
          isLeaving: () => leaving,
          isOutranked,
          isStandby,
          clock,
          random: options.random,
          logger,
        },
        stopping.signal,
      );
      const {retentionMs: keepOverMs} = options;
      const held = () => holder;
      void retention.runRetention(
        {jobsLog: logs.jobs, jobs, holder: held, keepOverMs, clock, logger},
        stopping.signal,
      );
    },
    async leave() {
      leaving = true;
      const held = holder;
      await held?.handOver();
      if (holder === held) holder = undefined;
    },
    stop() {
      stopping.abort();
      holder?.stop();
      configFollower.stop();
      jobsFollower.stop();
      cellFollower.stop();
      peers.close();
    },
    status: () => ({
      holdsCell: holder !== undefined,
      configVersion: configs.config()?.version,
      storeReachable: jobsFollower.reachableSince() !== undefined,
      replicaAgeMs: copyAgeMs(),
      scheduler: holder?.counts(),
    }),
  };
}
