/**
 * Stops an entry: either a planned stop, which lets calls in flight finish, or
 * an immediate one.
 */
import type * as fastify from 'fastify';
import type * as membership from '@gypsumwall/membership';
import type * as routing from '@gypsumwall/routing';
import type * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as domainHolder from './domain_holder.js';
import type * as entryClients from './entry_clients.js';

/** Dependencies of `createEntryStop`. */
export interface EntryStopOptions {
  readonly settings: settings.entrySettings.EntrySettings;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly claim: membership.claimKeeper.ClaimKeeper;
  readonly holder: domainHolder.DomainHolder;
  readonly router: routing.router.Router;
  readonly app: fastify.FastifyInstance;
  readonly peerServer: membership.peerServer.PeerServer;
  readonly peerClients: membership.peerClients.PeerClients;
  readonly externalClients: entryClients.EntryClients;
  readonly tracer: telemetry.tracing.Tracer;
  readonly metrics: telemetry.metrics.Metrics;
  /** Stops the entry's loops. */
  readonly closing: AbortController;
  /** Called when the stop begins; readiness must fail from then on. */
  readonly onLeaving: () => void;
}

/** Both ways to stop; repeated calls return the first call's promise. */
export interface EntryStop {
  drain(): Promise<void>;
  close(): Promise<void>;
}

const PEER_CLOSE_TIMEOUT_MS = 1_000;

/** Creates the stop functions of a running entry. */
export function createEntryStop(options: EntryStopOptions): EntryStop {
  const {clock, logger, app, router, closing} = options;
  const cfg = options.settings;
  let draining: Promise<void> | undefined;
  let closed: Promise<void> | undefined;

  async function drainOnce(): Promise<void> {
    options.onLeaving();
    logger.info('drain_started');
    const deadline = types.clock.after(clock.monotonic(), cfg.drainTimeoutMs);
    await options.holder.close();
    await options.claim.release();
    // Calls arrive until the balancer notices; they are forwarded to peers.
    const noticeEndsAt = types.clock.after(
      clock.monotonic(),
      cfg.drainNoticeMs,
    );
    await clock.sleepUntil(noticeEndsAt, closing.signal);
    const timer = new AbortController();
    await Promise.race([
      router.drain().then(() => app.close()),
      clock.sleepUntil(deadline, timer.signal),
    ]);
    timer.abort();
    const inTime = clock.monotonic() < deadline;
    logger.info('drain_finished', {in_time: inTime});
    await close();
  }

  function close(): Promise<void> {
    closed ??= closeOnce();
    return closed;
  }

  async function closeOnce(): Promise<void> {
    options.onLeaving();
    closing.abort();
    void options.holder.close();
    // After a drain no calls are left; past its deadline, the rest is cut off.
    app.server.closeAllConnections();
    await app.close();
    await router.close();
    await options.peerServer.close(PEER_CLOSE_TIMEOUT_MS);
    options.peerClients.close();
    await options.externalClients.close();
    await options.tracer.close();
    await options.metrics.close();
  }

  return {
    close,
    drain: () => {
      draining ??= drainOnce();
      return draining;
    },
  };
}
