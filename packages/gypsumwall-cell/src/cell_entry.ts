/**
 * One entry of a cell. It follows the logs, serves callers, and becomes the
 * cell's holder when no other entry is.
 */
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from './cell_entry_types.js';
import * as cellHolder from './cell_holder.js';
import type * as cellHolderTypes from './cell_holder_types.js';
import * as cellStates from './cell_state.js';
import * as claimView from './claim_view.js';
import * as configKeeper from './config_keeper.js';
import * as election from './election.js';
import * as entryAdmission from './entry_admission.js';
import * as entryReadiness from './entry_readiness.js';
import * as entryRegistration from './entry_registration.js';
import * as entryView from './entry_view.js';
import * as entryRoles from './entry_roles.js';
import * as jobPayloads from './job_payloads.js';
import * as jobService from './job_service.js';
import * as holderProbes from './holder_probe.js';
import * as jobTables from './job_table.js';
import * as logFollower from './log_follower.js';
import * as loopMonitor from './loop_monitor.js';
import * as peerDirectory from './peer_directory.js';
import type * as ports from './ports.js';
import * as forwardingJobService from './forwarding_job_service.js';
import * as payloadBudget from './payload_budget.js';
import * as storeProbe from './store_probe.js';
import * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';
import * as pauseDetector from './pause_detector.js';
import * as failoverPolicy from './failover_policy.js';
import * as applyRecords from './apply_records.js';
import * as rateMeter from './rate_meter.js';
import * as recordPauses from './record_pauses.js';
import * as refusedJobs from './refused_jobs.js';
import * as retention from './retention.js';

/**
 * Pause between a standby's reads of the cell's log, short enough to detect a
 * silent holder in time; milliseconds.
 */
const STANDBY_PAUSE_MS = 120;
/**
 * Pause between the reads of an entry that is not a standby; a caller's query
 * triggers a read at once. The records of one pause must be few, because on a
 * slow link the caller waits until all of them have arrived; milliseconds.
 */
const OBSERVER_PAUSE_MS = 200;
/**
 * Pause between reads of the jobs' log at entries other than the holder, which
 * alone needs new jobs quickly. Keeps the replica well below the age up to
 * which its count of pending jobs may be returned; milliseconds.
 */
const JOBS_PAUSE_MS = 500;
/**
 * The same while peers have tasks started whose payloads are in that log;
 * milliseconds.
 */
const REFERENCED_JOBS_PAUSE_MS = 40;
/**
 * How long a read waits at the store for a new record. An unresponsive store is
 * detected this much later; milliseconds.
 */
const READ_WAIT_MS = 250;
/** The same for the configuration's log, which changes rarely; milliseconds. */
const CONFIG_READ_WAIT_MS = 1_000;
/** Maximum delay until a configuration change takes effect; milliseconds. */
const CONFIG_PAUSE_MS = 100;
/**
 * Pause between the holder's reads of the jobs' log, so that it sees new jobs
 * almost at once; milliseconds.
 */
const HOLDER_PAUSE_MS = 6;

/** Time over which the rate of submissions is measured; milliseconds. */
const SUBMISSION_SPAN_MS = 3_000;

/**
 * Age up to which the holder doesn't read the cell's log, which it alone
 * writes; three of its heartbeats; milliseconds.
 */
const MAX_HOLDER_REPLICA_AGE_MS = 600;

/**
 * Busy share of the event loop above which an entry refuses the calls of its
 * peers. Above it, queueing multiplies the time of each call.
 */
const MAX_LOOP_UTILIZATION = 0.7;

/** Creates an entry; it does nothing until `start` is called. */
export function createCellEntry(
  options: cellEntryTypes.CellEntryOptions,
): cellEntryTypes.CellEntry {
  const {self, logs, clock, logger} = options;
  const stopping = new AbortController();
  const state = cellStates.createCellState();
  const health = storeHealth.createStoreHealth();
  const peers = peerDirectory.createPeerDirectory({
    self: self.instance,
    clock,
    logger,
    meter: options.meter,
  });
  const pauses = recordPauses.createRecordPauses(clock);
  const monitor = loopMonitor.createLoopMonitor({clock});
  const detector = pauseDetector.createPauseDetector(clock);
  const refusals = refusedJobs.createRefusedJobs(clock);
  let holder: cellHolderTypes.CellHolder | undefined;
  let isLeaving = false;
  let takeovers: types.clock.MonotonicMs[] = [];
  let lastRecordAt = clock.monotonic();
  /** When the last claim of this entry was sent. */
  let claimSentAt = lastRecordAt;
  const takePayloadBytes = payloadBudget.createPayloadBudget({
    linkMbps: self.linkMbps ?? Infinity,
    clock,
  });

  const configs = configKeeper.createConfigKeeper({
    decode: options.decodeConfig,
    logger,
    onChanged: () => holder?.onConfigChanged(),
  });
  const submissions = rateMeter.createRateMeter(clock, SUBMISSION_SPAN_MS);
  const roles = entryRoles.createEntryRoles({
    self,
    state,
    peers,
    arePeersKnown: () => jobsFollower.position() !== undefined,
    storeHealth: health,
    submissions,
  });
  const admission = entryAdmission.createEntryAdmission({
    state,
    configs,
    roles,
    peers,
    clock,
    random: options.random,
  });
  const jobs = jobTables.createJobTable({
    onAdded(job) {
      submissions.add();
      admission.onAccepted(job);
      holder?.onJobAdded(job);
    },
    onCancelled: (id) => holder?.onJobCancelled(id),
    onUpdated: (job, isLive) => admission.onUpdated(job, isLive),
  });
  const configFollower = logFollower.createLogFollower({
    log: logs.config,
    clock,
    logger,
    storeHealth: health,
    onRecords: (records) => records.forEach((record) => configs.apply(record)),
    pauseMs: () => CONFIG_PAUSE_MS,
    readWaitMs: CONFIG_READ_WAIT_MS,
  });
  const jobsFollower = logFollower.createLogFollower({
    log: logs.jobs,
    clock,
    logger,
    storeHealth: health,
    onRecords(records, reloaded) {
      if (reloaded) {
        const loadedIds = storeRecords.idsOf<types.ids.JobId>('job', records);
        jobs.retainRequests(loadedIds, clock.monotonic());
      }
      applyRecords.applyRecords(records, logger, applyJobRecord);
    },
    pauseMs: jobsPauseMs,
    readWaitMs: READ_WAIT_MS,
  });
  const cellFollower = logFollower.createLogFollower({
    log: logs.cell,
    clock,
    logger,
    storeHealth: health,
    onRecords(records, reloaded) {
      // Even a record that can't be decoded shows that the holder is alive.
      recordPause();
      lastRecordAt = clock.monotonic();
      if (reloaded) state.history.onReloaded();
      if (records.some(({key}) => key !== storeRecords.KEY_PREFIXES.claim))
        state.history.onRecordsRead(lastRecordAt);
      if (reloaded) retainLoaded(records);
      applyRecords.applyRecords(records, logger, applyCellRecord);
    },
    pauseMs: () => (roles.isStandby() ? STANDBY_PAUSE_MS : OBSERVER_PAUSE_MS),
    readWaitMs: READ_WAIT_MS,
    maxAgeMs: () => (holder === undefined ? 0 : MAX_HOLDER_REPLICA_AGE_MS),
  });
  const readiness = entryReadiness.createEntryReadiness({
    configs,
    followers: {config: configFollower, jobs: jobsFollower, cell: cellFollower},
    detector,
    isLeaving: () => isLeaving,
    hasRelayedRecently: () => service.hasRelayedRecently(),
    clock,
  });
  const payloads = jobPayloads.createJobPayloads({
    jobs,
    catchUp: () => jobsFollower.catchUp(),
    clock,
  });
  const localService = jobService.createJobService({
    jobsLog: logs.jobs,
    jobs,
    follower: jobsFollower,
    storeHealth: health,
    replicaAgeMs: () => readiness.replicaAgeMs(),
    catchUp: catchUpOnJobs,
    refreshStates,
    canForward: () =>
      roles.remoteHolder() !== undefined && roles.appender() !== undefined,
    clock,
    logger,
    couldEverFit: (...args) => admission.limits.couldEverFit(...args),
    fitsQuota: (...args) => admission.limits.fitsQuota(...args),
    checkLoad: (...args) => admission.check(...args),
    isOutdated: (caller) => configs.keys.isOutdated(caller),
  });
  const holderProbe = holderProbes.createHolderProbe({
    holder: () => roles.remoteHolder(),
    silentSince: () =>
      failoverPolicy.silentSince({
        lastRecordAt,
        reachableSince: cellFollower.reachableSince(),
      }),
    longestPauseMs: () => pauses.longestMs(),
    ping: (instance, timeoutMs) => peers.ping(instance, timeoutMs),
    isStandby: () => roles.isStandby(),
    clock,
  });
  const service = forwardingJobService.createForwardingJobService({
    local: localService,
    peers,
    clock,
    logger,
    storeReachable: () => jobsFollower.reachableSince() !== undefined,
    isStoreQuick: () => health.isQuick(),
    holder: () => roles.remoteHolder(),
    appender: () => roles.appender(),
    substituteAppender: () => roles.substituteAppender(),
    onJobRefused: (id, arrivedAt) => refusals.add(id, arrivedAt),
  });

  /** Only a pause during which the log was read is the holder's. */
  function recordPause(): void {
    const since = failoverPolicy.silentSince({
      lastRecordAt,
      reachableSince: cellFollower.reachableSince(),
    });
    if (since !== undefined) pauses.add(clock.monotonic() - since);
  }

  /**
   * A new holder reads the logs and calls all workers. Where that takes long,
   * it took this entry as long to load the logs.
   */
  function takeoverPauseMs(): number {
    return Math.max(cellFollower.loadMs(), jobsFollower.loadMs());
  }

  /**
   * Drops jobs and workers that a load doesn't contain. Their deletion records
   * may have been compacted while this entry couldn't read, so a load, which
   * contains all existing records, is the only evidence. Otherwise removed jobs
   * and workers would be counted, and this entry would take them over as
   * holder.
   */
  function retainLoaded(records: readonly ports.KeyedRecord[]): void {
    jobs.retainProgress(storeRecords.idsOf('progress', records));
    state.retainUsedWorkers(storeRecords.idsOf('used_worker', records));
  }

  /**
   * The holder knows every state that it has stored, as only it writes them.
   */
  async function refreshStates(): Promise<boolean> {
    if (holder?.isConfirmed() === true) return true;
    const ageMs = clock.monotonic() - (cellFollower.completeUntil() ?? 0);
    return ageMs <= jobService.MAX_STATE_AGE_MS || cellFollower.catchUp();
  }

  function jobsPauseMs(): number {
    if (holder !== undefined) return HOLDER_PAUSE_MS;
    return payloads.isReferenced() ? REFERENCED_JOBS_PAUSE_MS : JOBS_PAUSE_MS;
  }

  async function catchUpOnJobs(): Promise<boolean> {
    const read = [jobsFollower.catchUp(), cellFollower.catchUp()];
    return (await Promise.all(read)).every((ok) => ok);
  }

  function applyJobRecord(record: storeRecords.StoreRecord): void {
    if (record.kind === 'entry') {
      peers.apply(record.instance, record.entry);
      return;
    }
    if (record.kind === 'job' && record.job !== undefined)
      logStoredRefusal(record.jobId, record.job);
    jobs.apply(record, clock.monotonic());
  }

  /** Logs that a job is in the log which this entry has refused. */
  function logStoredRefusal(
    id: types.ids.JobId,
    {acceptedAt}: storeRecords.JobRecord,
  ): void {
    const stored = refusals.take(id, acceptedAt);
    if (stored === undefined) return;
    // Another entry may have accepted an earlier or later call.
    const level = stored.created === 'during_call' ? 'warn' : 'info';
    logger[level]('refused_job_stored', {
      job: id,
      outcome: stored.created,
      refusedMsAgo: stored.refusedMsAgo,
    });
  }

  function applyCellRecord(
    record: storeRecords.StoreRecord,
    offset: number,
  ): void {
    const before = state.claim();
    state.apply(record, offset, lastRecordAt);
    jobs.apply(record, lastRecordAt);
    if (record.kind !== 'claim') return;
    pauses.reset(takeoverPauseMs());
    markReplacedHolder(before);
    onClaimRead();
  }

  /**
   * Marks a holder that another entry has replaced as lost, so that the adviser
   * isn't asked through it either. Counts the takeover unless the holder had
   * released the cell.
   */
  function markReplacedHolder(before: claimView.CellClaim | undefined): void {
    if (before === undefined) return;
    if (before.instance === state.claim()?.instance) return;
    peers.markLost(before.instance);
    if (before.state === 'held') recordTakeover();
  }

  function recordTakeover(): void {
    const now = clock.monotonic();
    takeovers = takeovers.filter(
      (at) => now - at < failoverPolicy.TAKEOVER_WINDOW_MS,
    );
    takeovers.push(now);
  }

  function onClaimRead(): void {
    const claim = state.claim();
    // A read may return after the stop, when nothing would stop a new holder.
    if (claim === undefined || stopping.signal.aborted) return;
    logger.info('claim_read', {...claim});
    if (holder !== undefined && holder.claim.offset !== claim.offset) {
      holder.stop();
      holder = undefined;
    }
    const isOwn = claim.holder === self.entryId && claim.state === 'held';
    if (isOwn && holder === undefined && !isLeaving) becomeHolder(claim);
  }

  function becomeHolder(claim: claimView.CellClaim): void {
    const created = cellHolder.createCellHolder({
      claim,
      cellLog: logs.cell,
      workerLog: logs.workers,
      decodeWorker: options.decodeWorker,
      isUsedPool: (pool) => configs.isUsedPool(pool),
      connect: options.connect,
      cores: self.cores,
      loopUtilization: () => monitor.utilization(),
      // While the store is slow, peers read a job's record too late.
      sendsPayload: (payload) =>
        !health.isQuick() || takePayloadBytes(Buffer.byteLength(payload)),
      relayPeers: () => peers.relayPeers(),
      advisers: () => peers.advisers().set(self.instance, options.adviser),
      peersReadRanges: () => peers.allReadRanges(),
      jobs,
      state,
      catchUpJobs: () => jobsFollower.catchUp(),
      policyOf: (queue) => configs.policyOf(queue),
      organisations: () => configs.organisations(),
      leaseMs: options.leaseMs,
      claimSentAt,
      longestStopMs: options.longestStopMs,
      farFactor: options.farFactor,
      listExpiryMs: options.listExpiryMs,
      storeHealth: health,
      clock,
      logger,
      onAppended: (entries, firstOffset, sentAt) =>
        cellFollower.applyAppended(entries, firstOffset, sentAt),
      onFenced: () => {
        if (holder === created) holder = undefined;
      },
    });
    holder = created;
    void created.start();
  }

  const parts = {admission, configs, jobsFollower, monitor, readiness, state};
  const view = entryView.createEntryView(parts);

  return {
    jobService: service,
    localJobService: localService,
    config: () => configs.config(),
    findCaller: (key) => configs.keys.find(key),
    isConfigCurrent: () => readiness.isConfigCurrent(),
    isReady: () => readiness.isReady(),
    isBusy: () => monitor.utilization() >= MAX_LOOP_UTILIZATION,
    findPayload: (id) => payloads.find(id),
    start() {
      void configFollower.run();
      void jobsFollower.run();
      void cellFollower.run();
      void storeProbe.runStoreProbe(
        {log: logs.jobs, follower: jobsFollower, storeHealth: health, clock},
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
          longestPauseMs: () => pauses.longestMs(),
          isHolder: () => holder !== undefined,
          isLeaving: () => isLeaving,
          onClaimSent: (at) => (claimSentAt = at),
          isOutranked: () => roles.isOutranked(),
          isStandby: () => roles.isStandby(),
          clock,
          random: options.random,
          logger,
        },
        stopping.signal,
      );
      void retention.runRetention(
        {
          jobsLog: logs.jobs,
          jobs,
          holder: () => holder,
          appendLatencyMs: () => localService.storeLatencyMs(),
          retentionMs: options.retentionMs,
          clock,
          logger,
        },
        stopping.signal,
      );
    },
    async leave() {
      isLeaving = true;
      const held = holder;
      await held?.handOver();
      if (holder === held) holder = undefined;
    },
    stop() {
      stopping.abort();
      holder?.stop();
      for (const follower of [configFollower, jobsFollower, cellFollower])
        follower.stop();
      peers.close();
    },
    explain: (question) => view.explain(question, holder),
    status: () => view.status(holder),
  };
}
