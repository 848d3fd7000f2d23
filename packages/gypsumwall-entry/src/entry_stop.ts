/** How an entry ends: a planned stop that cuts nothing off, or at once. */
import type * as fastify from 'fastify';
import type * as membership from '@gypsumwall/membership';
import type * as routing from '@gypsumwall/routing';
import type * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as domainHolder from './domain_holder.js';
import type * as entryClients from './entry_clients.js';

/** What is stopped. */
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
  /** Ends the entry's loops. */
  readonly closing: AbortController;
  /** Not ready to the balancer from now on. */
  readonly onLeaving: () => void;
}

/** Both ways to end; the first call of each decides. */
export interface EntryStop {
  drain(): Promise<void>;
  close(): Promise<void>;
}

const PEER_CLOSE_TIMEOUT_MS = 1_000;

/** Makes the stop of an entry that runs. */
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
    // Until the balancer has seen it, calls still come: they are handed over.
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
    // After a drain nothing is left; past its deadline, waiting has an end.
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
