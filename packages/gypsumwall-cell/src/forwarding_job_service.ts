/**
 * The desk that callers meet: answers from this entry's own desk while it
 * reaches the store, and hands calls to a peer while the store turns this
 * entry away or is slow. So it does with questions until it has read what it
 * missed. A slow store appends one batch at a time, so calls of
 * all entries go through the holder then and share its batches.
 */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as jobService from './job_service.js';
import type * as peerDirectory from './peer_directory.js';
import type * as peerProtocol from './peer_protocol.js';

/** Appends that take longer than this go through the holder; milliseconds. */
const SLOW_STORE_MS = 60;
/** A slow store takes two of its appends for a call; milliseconds. */
const SLOW_HOLDER_TIMEOUT_MS = 2_500;
/** The same, after a first try that was given up. */
const SLOW_HOLDER_RETRY_TIMEOUT_MS = 2_000;
/**
 * After so long at the holder a call isn't sent by this entry as well: its
 * caller would wait until its deadline; milliseconds.
 */
const MAX_DIRECT_DELAY_MS = 800;
/** When a caller that was refused after that should come back; milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** A sound peer answers in 20 ms; callers must not be held; milliseconds. */
const PEER_TIMEOUT_MS = 300;
const ALL_PEERS_TIMEOUT_MS = 500;
/**
 * After a call that no peer could answer none of its type is handed on. Each
 * type by itself: a peer whose copy of the logs is old can't tell how many jobs
 * wait, and takes one all the same; milliseconds.
 */
const UNANSWERED_PAUSE_MS = 400;
/** How long an entry counts as served by its peers; milliseconds. */
const RELAYED_RECENTLY_MS = 1_500;

/** Nobody was asked. */
const NOT_RELAYED = {
  type: 'unanswered',
  maybeApplied: false,
  isSlow: false,
} as const;

/** What a relaying desk is made with. */
export interface ForwardingJobServiceOptions {
  readonly local: jobService.JobService;
  readonly peers: peerDirectory.PeerDirectory;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly storeReachable: () => boolean;
  /** Instance that holds the cell; undefined if it is this one or none. */
  readonly holder: () => string | undefined;
}

/** A desk with a way round the store. */
export interface ForwardingJobService extends jobService.JobService {
  /** Whether peers have stored something for this entry lately. */
  hasRelayedRecently(): boolean;
}

/** Creates the desk. */
export function createForwardingJobService(
  options: ForwardingJobServiceOptions,
): ForwardingJobService {
  const {local: own, peers, clock, logger} = options;
  let relayedAt: types.clock.MonotonicMs | undefined;
  const pausedUntil = new Map<
    peerProtocol.RelayReq['type'],
    types.clock.MonotonicMs
  >();

  async function relay(
    req: peerProtocol.RelayReq,
    limits: peerDirectory.RelayLimits,
  ): Promise<peerDirectory.RelayOutcome> {
    const outcome = await peers.relay(req, limits);
    const answered = outcome.type === 'answered';
    logger.info('call_relayed', {
      job: req.type === 'pending' ? undefined : req.id,
      call: req.type,
      outcome: answered ? outcome.res.type : outcome.type,
      mayStand: answered ? undefined : outcome.maybeApplied,
    });
    if (answered && provesStoreAccess(req, outcome.res)) {
      relayedAt = clock.monotonic();
    }
    return outcome;
  }

  /** Tries any peer, unless none could answer just now. */
  async function relayToAny(
    req: peerProtocol.RelayReq,
  ): Promise<peerDirectory.RelayOutcome> {
    if (clock.monotonic() < (pausedUntil.get(req.type) ?? 0)) {
      return NOT_RELAYED;
    }
    const outcome = await relay(req, {
      preferred: options.holder(),
      onlyPreferred: false,
      peerTimeoutMs: PEER_TIMEOUT_MS,
      totalTimeoutMs: ALL_PEERS_TIMEOUT_MS,
    });
    if (outcome.type === 'unanswered') {
      const until = types.clock.after(clock.monotonic(), UNANSWERED_PAUSE_MS);
      pausedUntil.set(req.type, until);
    }
    return outcome;
  }

  /** Through the holder, whose batches are shared; not if this is the holder. */
  async function relayToHolder(
    req: peerProtocol.RelayReq,
    withinMs: number,
  ): Promise<peerDirectory.RelayOutcome> {
    const preferred = options.holder();
    if (preferred === undefined) return NOT_RELAYED;
    const limits = {peerTimeoutMs: withinMs, totalTimeoutMs: withinMs};
    return relay(req, {preferred, onlyPreferred: true, ...limits});
  }

  /** The holder's answer, however long its store takes. */
  async function waitForHolder<Value>(
    req: peerProtocol.RelayReq,
    withinMs: number,
    ask: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    const askedAt = clock.monotonic();
    const relayed = await relayToHolder(req, withinMs);
    if (relayed.type === 'answered') return answerOf(relayed.res);
    if (relayed.maybeApplied) return {type: 'unknown'};
    if (clock.monotonic() - askedAt < MAX_DIRECT_DELAY_MS) return ask();
    return {type: 'not_run', retryAfterMs: RETRY_AFTER_MS};
  }

  /**
   * What the store refused here: through the holder, which may be served or
   * whose batches have their turn. Any peer is asked only where the store has
   * turned this entry away: with too many appends in line, calls that go from
   * peer to peer are refused at each and keep the line full.
   */
  async function forwardRefused<Value>(
    req: peerProtocol.RelayReq,
    refused: jobService.JobServiceAnswer<Value>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    const viaHolder = await relayToHolder(req, PEER_TIMEOUT_MS);
    if (viaHolder.type === 'answered') return answerOf(viaHolder.res);
    if (viaHolder.isSlow) {
      const answerRefused = () => Promise.resolve(refused);
      return waitForHolder(req, SLOW_HOLDER_RETRY_TIMEOUT_MS, answerRefused);
    }
    if (options.storeReachable()) {
      return withUncertainty(refused, viaHolder.maybeApplied);
    }
    const relayed = await relayToAny(req);
    if (relayed.type === 'answered') return answerOf(relayed.res);
    return withUncertainty(
      refused,
      relayed.maybeApplied || viaHolder.maybeApplied,
    );
  }

  /** The own desk's answer, or a peer's where that is better. */
  async function serve<Value>(
    req: peerProtocol.RelayReq,
    ask: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    if (!options.storeReachable()) {
      const relayed = await relayToAny(req);
      if (relayed.type === 'answered') return answerOf(relayed.res);
      return withUncertainty(await ask(), relayed.maybeApplied);
    }
    const latencyMs = own.storeLatencyMs();
    if (latencyMs !== undefined && latencyMs > SLOW_STORE_MS) {
      return waitForHolder(req, SLOW_HOLDER_TIMEOUT_MS, ask);
    }
    // Without an append of its own lately an entry doesn't know the store's
    // pace, and the holder, which appends all the time, does. Of 45 entries
    // each had sent one append to a slow store before it knew: a line of 19 s,
    // at which the store refused all for 6 s, and 234 jobs of 360 were lost.
    const viaHolder =
      latencyMs === undefined
        ? await relayToHolder(req, PEER_TIMEOUT_MS)
        : NOT_RELAYED;
    if (viaHolder.type === 'answered') return answerOf(viaHolder.res);
    if (viaHolder.isSlow)
      return waitForHolder(req, SLOW_HOLDER_RETRY_TIMEOUT_MS, ask);
    const direct = await ask();
    if (direct.type !== 'not_run' && direct.type !== 'unknown') return direct;
    if (direct.type === 'not_run') {
      const forwarded = await forwardRefused<Value>(req, direct);
      return withUncertainty(forwarded, viaHolder.maybeApplied);
    }
    const relayed = await relayToAny(req);
    if (relayed.type === 'answered') return answerOf(relayed.res);
    return withUncertainty(
      direct,
      relayed.maybeApplied || viaHolder.maybeApplied,
    );
  }

  return {
    submit: (id, policy, request) =>
      serve({type: 'submit', id, policy, request}, () =>
        own.submit(id, policy, request),
      ),
    cancel: (id, queue) =>
      serve({type: 'cancel', id, queue}, () => own.cancel(id, queue)),
    async phaseOf(id, queue) {
      if (options.storeReachable() && own.isCurrent()) {
        const direct = await own.phaseOf(id, queue);
        if (direct.type !== 'not_run') return direct;
      }
      const over = await own.finalPhaseOf(id, queue);
      if (over.type === 'ok') return over;
      const relayed = await relayToAny({type: 'phase', id, queue});
      if (relayed.type === 'answered') return answerOf(relayed.res);
      return own.phaseOf(id, queue);
    },
    async pendingIn(queue) {
      const direct = await own.pendingIn(queue);
      if (direct.type === 'ok') return direct;
      const relayed = await relayToAny({type: 'pending', queue});
      return relayed.type === 'answered' ? answerOf(relayed.res) : direct;
    },
    finalPhaseOf: (id, queue) => own.finalPhaseOf(id, queue),
    isCurrent: () => own.isCurrent(),
    storeLatencyMs: () => own.storeLatencyMs(),
    hasRelayedRecently: () =>
      relayedAt !== undefined &&
      clock.monotonic() - relayedAt < RELAYED_RECENTLY_MS,
  };
}

/**
 * Whether the peer must have reached the store. Entries of a failure domain
 * that is cut off know each other's jobs and answer questions about them; one
 * that took such an answer for a way to the store stayed ready, and all its
 * callers were refused for as long as the cut lasted.
 */
function provesStoreAccess(
  req: peerProtocol.RelayReq,
  res: peerProtocol.RelayRes,
): boolean {
  switch (req.type) {
    case 'submit':
    case 'cancel':
      return res.type === 'ok';
    case 'phase':
    case 'pending':
      return false;
  }
}

/** A peer's answer to the same call has the same type of value. */
function answerOf<Value>(
  res: peerProtocol.RelayRes,
): jobService.JobServiceAnswer<Value> {
  return res as jobService.JobServiceAnswer<Value>;
}

/**
 * A peer that got the call and didn't answer may have done it: the caller
 * would be told that nothing ran of a job that runs.
 */
function withUncertainty<Value>(
  direct: jobService.JobServiceAnswer<Value>,
  maybeApplied: boolean,
): jobService.JobServiceAnswer<Value> {
  return direct.type === 'not_run' && maybeApplied ? {type: 'unknown'} : direct;
}
