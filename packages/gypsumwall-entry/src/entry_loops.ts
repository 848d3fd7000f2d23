/** Starts the background loops of an entry; each has a module of its own. */
import type * as membership from '@gypsumwall/membership';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as entryContext from './entry_context.js';
import type * as entryStream from './entry_stream.js';
import * as peerCatchUp from './peer_catch_up.js';
import * as reportGauges from './report_gauges.js';
import * as snapshotWriter from './snapshot_writer.js';
import * as viewTicker from './view_ticker.js';

/** Options of `startEntryLoops`. */
export interface EntryLoopsOptions {
  readonly context: entryContext.EntryContext;
  readonly metrics: telemetry.metrics.Metrics;
  readonly random: types.random.Random;
  readonly viewKeeper: membership.domainViewKeeper.DomainViewKeeper;
  readonly claim: membership.claimKeeper.ClaimKeeper;
  readonly onView: (view: membership.domainView.DomainView) => void;
  readonly peerClients: membership.peerClients.PeerClients;
  readonly config: entryStream.EntryStream;
  readonly requests: entryStream.EntryStream;
  readonly domain: entryStream.EntryStream;
  /** Stops all loops. */
  readonly signal: AbortSignal;
}

const VIEW_INTERVAL_MS = 200;

/** Starts all loops; they run until the signal aborts. */
export function startEntryLoops(options: EntryLoopsOptions): void {
  const {context, config, requests, domain, signal} = options;
  const streams = [config, domain, requests];
  for (const stream of streams) void stream.follower.run(signal);
  void options.viewKeeper.run(signal);
  void options.claim.run(signal);
  void reportGauges.reportGauges(context, options.metrics, signal);
  void viewTicker.publishView(tickerOptions(options), signal);
  void snapshotWriter.writeSnapshots(
    {
      streams,
      clock: context.clock,
      random: options.random,
      logger: context.logger,
      intervalRecords: context.settings.snapshotEveryRecords,
      intervalMs: context.settings.snapshotEveryMs,
    },
    signal,
  );
  void peerCatchUp.catchUpFromPeers(catchUpOptions(options), signal);
}

function tickerOptions(
  options: EntryLoopsOptions,
): viewTicker.ViewTickerOptions {
  const {clock, settings} = options.context;
  return {
    clock,
    intervalMs: VIEW_INTERVAL_MS,
    pauseThresholdMs: settings.listLagMs,
    maxFetchMs: settings.platformTimeoutMs,
    view: () => options.viewKeeper.current(),
    onView: options.onView,
  };
}

function catchUpOptions(
  options: EntryLoopsOptions,
): peerCatchUp.PeerCatchUpOptions {
  const {clock, logger, failureDomain, view} = options.context;
  const allPeers = () => view().peers;
  const domainPeers = () =>
    allPeers().filter((peer) => peer.failureDomain === failureDomain);
  return {
    streams: [
      {stream: options.config, peers: allPeers},
      {stream: options.requests, peers: allPeers},
      {stream: options.domain, peers: domainPeers},
    ],
    clients: options.peerClients,
    clock,
    random: options.random,
    logger,
  };
}
