/** Creates an entry from its parts and starts it. */
import * as crypto from 'node:crypto';
import * as membership from '@gypsumwall/membership';
import * as placement from '@gypsumwall/placement';
import * as records from '@gypsumwall/records';
import * as routing from '@gypsumwall/routing';
import * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as authenticate from './authenticate.js';
import * as domainFold from './domain_fold.js';
import * as domainHolder from './domain_holder.js';
import * as entryClients from './entry_clients.js';
import type * as entryContext from './entry_context.js';
import * as entryLoops from './entry_loops.js';
import * as entryReadiness from './entry_readiness.js';
import * as entryServices from './entry_services.js';
import * as entryStop from './entry_stop.js';
import * as entryStream from './entry_stream.js';
import * as entryTelemetry from './entry_telemetry.js';
import * as forwarder from './forwarder.js';
import * as httpServer from './http_server.js';
import * as peerForwarding from './peer_forwarding.js';
import * as readState from './read_state.js';
import * as recoveryGate from './recovery_gate.js';
import * as routerFeed from './router_feed.js';

/** Options of an entry. Tests pass their own clock and random source. */
export interface EntryOptions {
  readonly settings: settings.entrySettings.EntrySettings;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Defaults to a tracer made from the settings. */
  readonly tracer?: telemetry.tracing.Tracer;
  /** Defaults to metrics made from the settings. */
  readonly metrics?: telemetry.metrics.Metrics;
}

/** A running entry. */
export interface Entry {
  readonly id: types.ids.EntryId;
  /** Address for callers, `http://ip:port`. */
  readonly address: string;
  /** Address of the peer service, for other entries. */
  readonly peerAddress: string;
  /** Refuses new calls, releases the claim and finishes calls in flight. */
  drain(): Promise<void>;
  /** Stops at once and cuts off calls in flight. */
  close(): Promise<void>;
}

const PEER_CALL_TIMEOUT_MS = 2_000;
/** Limits a busy holder, which records each task's end, to 20 appends/s. */
const DOMAIN_MIN_GAP_MS = 50;
/** Short, because a caller waits for each append to these two streams. */
const REQUESTS_MIN_GAP_MS = 10;
const CONFIG_MIN_GAP_MS = 10;
const CONFIG_STREAM = 'config';
const REQUESTS_STREAM = 'requests';

/** Starts an entry; resolves once it accepts calls. */
export async function createEntry(options: EntryOptions): Promise<Entry> {
  const {clock, random} = options;
  const cfg = options.settings;
  // Each process gets a new id, because a restarted process has lost the
  // promises that it gave to peers.
  const self = types.ids.brand<types.ids.EntryId>(
    `${cfg.id}-${crypto.randomBytes(4).toString('hex')}`,
  );
  const failureDomain = types.ids.brand<types.ids.FailureDomain>(
    cfg.failureDomain,
  );
  const logger = options.logger.with({entry: cfg.id, domain: failureDomain});
  const tracer = options.tracer ?? entryTelemetry.makeTracer(cfg, self, logger);
  const metrics = options.metrics ?? entryTelemetry.makeMetrics(cfg, logger);
  const closing = new AbortController();
  const {signal} = closing;
  let isLeaving = false;

  const externalClients = entryClients.createEntryClients({
    settings: cfg,
    clock,
    metrics,
    tracer,
  });
  const peerClients =
    membership.peerClients.createPeerClients(PEER_CALL_TIMEOUT_MS);
  const createStream = (
    stream: string,
    fold: records.streamFold.StreamFold,
    minGapMs: number,
  ): entryStream.EntryStream =>
    entryStream.createEntryStream({
      stream,
      self,
      log: externalClients.log,
      fold,
      minGapMs,
      clock,
      logger,
      signal,
    });

  // Settings tree
  const config = records.configFold.createConfigFold(() => onConfigChange());
  const configStream = createStream(CONFIG_STREAM, config, CONFIG_MIN_GAP_MS);
  const authenticator = authenticate.createAuthenticator(
    config,
    cfg.rootOperatorTokenHash,
  );

  // Requests that may not be repeated
  const requests = records.requestFold.createRequestFold(clock);
  const requestStream = createStream(
    REQUESTS_STREAM,
    requests,
    REQUESTS_MIN_GAP_MS,
  );

  // Peers. The server starts first, because its address is part of the view.
  const forwardMark = forwarder.createForwardMark();
  const peerServer = await membership.peerServer.createPeerServer({
    self,
    failureDomain,
    host: cfg.host,
    port: cfg.peerPort,
    handlers: {
      claim: {
        answerPromise: (ask) => claim.answerPromise(ask),
        answerWitness: (ask) => claim.answerWitness(ask),
      },
      ownState,
      leavingInstances: () => viewKeeper.listedLeavingInstances(),
      onHeartbeat: (req) => viewKeeper.onHeartbeat(req),
      forward: (req) => peerForwarding.serveForwarded(app, forwardMark, req),
      readState: (req) =>
        Promise.resolve(readState.readState(self, streams(), req)),
    },
  });
  const recentWorkers = recoveryGate.createRecentWorkers();
  const viewKeeper = membership.domainViewKeeper.createDomainViewKeeper({
    self,
    failureDomain,
    address: peerServer.address,
    clock,
    logger,
    list: externalClients.list,
    clients: peerClients,
    listPollMs: cfg.listPollMs,
    listLagMs: cfg.listLagMs,
    heartbeatMs: cfg.peerHeartbeatMs,
    silenceMs: cfg.peerSilenceMs,
    ownState,
  });

  // The failure domain: its jobs, its claim and the holder's scheduler
  const jobs = records.jobFold.createJobFold((change) =>
    holder.onJobChange(change),
  );
  const claim = membership.claimKeeper.createClaimKeeper({
    self,
    failureDomain,
    address: peerServer.address,
    clock,
    random,
    logger,
    ttlMs: cfg.claimTtlMs,
    listLagMs: cfg.listLagMs,
    appendRecord: (record) => domainStream.append(record),
    isCaughtUp: () => domainStream.isCurrent(),
    view: () => viewKeeper.current(),
    peers: membership.claimCalls.createClaimCalls(peerClients),
    onChange: (state) => holder.onClaimChange(state),
  });
  const domainStream = createStream(
    records.domainRecords.streamOf(failureDomain),
    domainFold.createDomainFold(jobs, claim),
    DOMAIN_MIN_GAP_MS,
  );
  const holder = domainHolder.createDomainHolder({
    claim: () => claim.state(),
    hadPredecessor: () => claim.newest()?.replaces !== null,
    view: () => viewKeeper.current(),
    teams: () => config.teams(),
    makePlacer: () => placement.createPlacer.createPlacer({random}),
    scheduler: {
      self,
      durations: {
        workerHeartbeatMs: cfg.workerHeartbeatMs,
        taskLeaseMs: cfg.taskLeaseMs,
        serviceLeaseMs: cfg.serviceLeaseMs,
        leaseGraceMs: cfg.leaseGraceMs,
        listLagMs: cfg.listLagMs,
      },
      clock,
      logger,
      jobs,
      recentWorkers,
      makeWorker: (listed) => externalClients.makeWorker(listed),
      tracer,
      metrics,
      append: (record) => domainStream.appendAndWait(record),
    },
  });

  // Quick requests
  const router = routing.createRouter.createRouter({
    entryId: peerServer.address,
    clock,
    random,
    logger,
    listLagMs: cfg.listLagMs,
    defaults: settings.cellTree.TEAM_DEFAULTS,
    makeUpstream: (listed, connections) =>
      externalClients.makeUpstream(listed, connections),
  });

  const feed = routerFeed.createRouterFeed({
    router,
    failureDomain,
    address: peerServer.address,
  });

  const context: entryContext.EntryContext = {
    self,
    settings: cfg,
    failureDomain,
    clock,
    logger,
    metrics,
    tracer,
    authenticate: authenticator.authenticate,
    config,
    configFollower: configStream.follower,
    domainFollower: domainStream.follower,
    requestFollower: requestStream.follower,
    view: () => viewKeeper.current(),
    claim: () => claim.state(),
    scheduler: () => holder.current(),
    router,
    ...entryServices.createEntryServices({
      self,
      failureDomain,
      clock,
      log: externalClients.log,
      config,
      configStream,
      requests,
      requestStream,
      jobs,
      domainStream,
      holder,
      router,
    }),
    sendToPeer: peerForwarding.createSendToPeer({
      clients: peerClients,
      clock,
      tracer,
    }),
    forwardMark,
    notReadyReason: () =>
      entryReadiness.notReadyReason({
        isLeaving,
        config,
        streams: streams(),
        view: viewKeeper.current(),
        ownSlots: feed.ownSlots(),
      }),
    isLeaving: () => isLeaving,
    hasSlots: () => feed.ownSlots() > 0,
    startDrain: () => void stop.drain(),
  };
  const app = httpServer.createHttpServer(context);

  function ownState(): membership.peerServer.OwnState {
    const state = claim.state();
    return {
      configOffset: configStream.follower.nextOffset(),
      leaving: isLeaving,
      heldEpoch: state.type === 'held' ? state.epoch : undefined,
    };
  }

  function onConfigChange(): void {
    authenticator.clearCache();
    feed.onTeams(config.teams());
    holder.onTeamsChange();
  }

  function onView(view: membership.domainView.DomainView): void {
    recentWorkers.record(
      view.workers.map((worker) => worker.id),
      clock.monotonic(),
    );
    feed.onView(view);
    holder.onView(view);
  }

  function streams(): readonly entryStream.EntryStream[] {
    return [configStream, domainStream, requestStream];
  }

  const stop = entryStop.createEntryStop({
    settings: cfg,
    clock,
    logger,
    claim,
    holder,
    router,
    app,
    peerServer,
    peerClients,
    externalClients,
    tracer,
    metrics,
    closing,
    onLeaving: () => {
      isLeaving = true;
    },
  });

  const address = await app.listen({host: cfg.host, port: cfg.port});
  entryLoops.startEntryLoops({
    context,
    metrics,
    random,
    viewKeeper,
    claim,
    onView,
    peerClients,
    config: configStream,
    requests: requestStream,
    domain: domainStream,
    signal,
  });
  logger.info('entry_listening', {address, peer_address: peerServer.address});
  return {
    id: self,
    address,
    peerAddress: peerServer.address,
    drain: () => stop.drain(),
    close: () => stop.close(),
  };
}
