/** Puts the parts of an entry together and runs them. */
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

/** What an entry is made of; the same code runs on another clock or seed. */
export interface EntryOptions {
  readonly settings: settings.entrySettings.EntrySettings;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Made from the settings where absent. */
  readonly tracer?: telemetry.tracing.Tracer;
  /** Made from the settings where absent. */
  readonly metrics?: telemetry.metrics.Metrics;
}

/** A running entry. */
export interface Entry {
  readonly id: types.ids.EntryId;
  /** Where callers reach it, `http://ip:port`. */
  readonly address: string;
  /** Where other entries reach it. */
  readonly peerAddress: string;
  /** Takes nothing new, hands the claim over, finishes what is in flight. */
  drain(): Promise<void>;
  /** Ends at once. */
  close(): Promise<void>;
}

const PEER_TIMEOUT_MS = 2_000;
/** A busy holder's ends of tasks: 20 appends a second, however many. */
const DOMAIN_GAP_MS = 50;
/** A caller waits for each of these. */
const REQUESTS_GAP_MS = 10;
const CONFIG_GAP_MS = 10;
const CONFIG_STREAM = 'config';
const REQUESTS_STREAM = 'requests';

/** Starts an entry; resolves once it listens. */
export async function createEntry(options: EntryOptions): Promise<Entry> {
  const {clock, random} = options;
  const cfg = options.settings;
  // Every process is a new entry to its peers: it remembers no promise.
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
  let leaving = false;

  const outside = entryClients.createEntryClients({
    settings: cfg,
    clock,
    metrics,
    tracer,
  });
  const clients = membership.peerClients.createPeerClients(PEER_TIMEOUT_MS);
  const streamOf = (
    stream: string,
    fold: records.streamFold.StreamFold,
    minGapMs: number,
  ): entryStream.EntryStream =>
    entryStream.createEntryStream({
      stream,
      self,
      log: outside.log,
      fold,
      minGapMs,
      clock,
      logger,
      signal,
    });

  // Settings tree.
  const config = records.configFold.createConfigFold(() => onConfig());
  const configStream = streamOf(CONFIG_STREAM, config, CONFIG_GAP_MS);
  const identities = authenticate.createAuthenticate(
    config,
    cfg.rootOperatorTokenHash,
  );

  // Requests that may not be repeated.
  const requests = records.requestFold.createRequestFold(clock);
  const requestStream = streamOf(REQUESTS_STREAM, requests, REQUESTS_GAP_MS);

  // Peers. The server listens first, since its address is part of the view.
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
      leavingInstances: () => viewKeeper.listedLeaving(),
      onHeartbeat: (req) => viewKeeper.noteHeartbeat(req),
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
    list: outside.list,
    clients,
    listPollMs: cfg.listPollMs,
    listLagMs: cfg.listLagMs,
    heartbeatMs: cfg.peerHeartbeatMs,
    silenceMs: cfg.peerSilenceMs,
    ownState,
  });

  // The domain: its jobs, its claim, and the holder's part.
  const jobs = records.jobFold.createJobFold((change) => holder.onJob(change));
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
    caughtUp: () => domainStream.isCurrent(),
    view: () => viewKeeper.current(),
    peers: membership.claimCalls.createClaimCalls(clients),
    onChange: (state) => holder.onClaim(state),
  });
  const domainStream = streamOf(
    records.domainRecords.streamOf(failureDomain),
    domainFold.createDomainFold(jobs, claim),
    DOMAIN_GAP_MS,
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
      makeWorker: (listed) => outside.makeWorker(listed),
      tracer,
      metrics,
      append: (record) => domainStream.appendAndApply(record),
    },
  });

  // Quick requests.
  const router = routing.createRouter.createRouter({
    entryId: peerServer.address,
    clock,
    random,
    logger,
    listLagMs: cfg.listLagMs,
    defaults: settings.cellTree.TEAM_DEFAULTS,
    makeUpstream: (listed, connections) =>
      outside.makeUpstream(listed, connections),
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
    authenticate: identities.authenticate,
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
      log: outside.log,
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
      clients,
      clock,
      tracer,
    }),
    forwardMark,
    isReady: () =>
      entryReadiness.notReadyBecause({
        leaving,
        config,
        streams: streams(),
        view: viewKeeper.current(),
        ownSlots: feed.ownSlots(),
      }),
    isLeaving: () => leaving,
    hasSlots: () => feed.ownSlots() > 0,
    startDrain: () => void stop.drain(),
  };
  const app = httpServer.createHttpServer(context);

  function ownState(): membership.peerServer.OwnState {
    const state = claim.state();
    return {
      configOffset: configStream.follower.nextOffset(),
      leaving,
      heldEpoch: state.type === 'held' ? state.epoch : undefined,
    };
  }

  function onConfig(): void {
    identities.forget();
    feed.onTeams(config.teams());
    holder.onTeams();
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
    peerClients: clients,
    outside,
    tracer,
    metrics,
    closing,
    onLeaving: () => {
      leaving = true;
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
    peerClients: clients,
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
