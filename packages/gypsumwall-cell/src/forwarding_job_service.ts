/**
 * The job service that callers use. It answers from this entry's local job
 * service while the store is available, and forwards calls to a peer while the
 * store refuses this entry or is slow. Queries are also forwarded until this
 * entry has read the records it missed. The store handles the appends of a
 * log one at a time, so while it is slow all entries send their calls through
 * the holder, which combines them in batches.
 */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as jobService from './job_service.js';
import type * as peerDirectory from './peer_directory.js';
import type * as peerProtocol from './peer_protocol.js';

/** Append latency above which calls go through the holder; milliseconds. */
const SLOW_STORE_MS = 60;
/**
 * Timeout of a call through the holder while the store is slow, enough for two
 * of the store's appends; milliseconds.
 */
const SLOW_HOLDER_TIMEOUT_MS = 2_500;
/** The same, after a first try that timed out; milliseconds. */
const SLOW_RETRY_TIMEOUT_MS = 2_000;
/**
 * If the holder took longer than this, the entry doesn't try the call itself,
 * because its caller would wait until the deadline; milliseconds.
 */
const MAX_DIRECT_DELAY_MS = 800;
/** When a caller should retry after such a refusal; milliseconds. */
const RETRY_AFTER_MS = 1_000;
/**
 * Timeouts for one peer's answer and for all peers together. A healthy peer
 * answers in 20 ms, and callers must not be blocked; milliseconds.
 */
const PEER_TIMEOUT_MS = 300;
const ALL_PEERS_TIMEOUT_MS = 500;
/**
 * After no peer could answer a call, calls of the same type aren't forwarded
 * for this long. Each type is counted separately: a peer with a stale replica
 * can't count pending jobs but can still accept one; milliseconds.
 */
const UNANSWERED_PAUSE_MS = 400;
/** How long an entry counts as served by its peers; milliseconds. */
const RELAYED_RECENTLY_MS = 1_500;

/** The outcome if no peer was asked. */
const NOT_RELAYED = {
  type: 'unanswered',
  maybeApplied: false,
  isSlow: false,
} as const;

/** A call of a caller in progress. */
interface TrackedCall {
  /**
   * Forwards the call to any peer, unless none could answer a call of this type
   * a moment ago.
   */
  relayToAny(): Promise<peerDirectory.RelayOutcome>;
  /**
   * Forwards the call to the holder, which appends it in a batch with others;
   * does nothing on the holder itself.
   */
  relayToHolder(withinMs: number): Promise<peerDirectory.RelayOutcome>;
  /** The final answer, given what its relays may have caused. */
  conclude<Value>(
    answer: jobService.JobServiceAnswer<Value>,
  ): jobService.JobServiceAnswer<Value>;
}

/** Options of a forwarding job service. */
export interface ForwardingJobServiceOptions {
  readonly local: jobService.JobService;
  readonly peers: peerDirectory.PeerDirectory;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly storeReachable: () => boolean;
  /** Instance that holds the cell; undefined if it is this one or none. */
  readonly holder: () => string | undefined;
}

/** A job service that can reach the store through peers. */
export interface ForwardingJobService extends jobService.JobService {
  /** Whether a peer has stored a record for this entry recently. */
  hasRelayedRecently(): boolean;
}

/** Creates the job service. */
export function createForwardingJobService(
  options: ForwardingJobServiceOptions,
): ForwardingJobService {
  const {local: localService, peers, clock, logger} = options;
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

  /** One caller's call, and whether a peer may have applied it. */
  function trackCall(req: peerProtocol.RelayReq): TrackedCall {
    let maybeApplied = false;

    async function send(
      limits: peerDirectory.RelayLimits,
    ): Promise<peerDirectory.RelayOutcome> {
      const outcome = await relay(req, limits);
      maybeApplied ||= outcome.maybeApplied;
      return outcome;
    }

    return {
      async relayToAny() {
        if (clock.monotonic() < (pausedUntil.get(req.type) ?? 0)) {
          return NOT_RELAYED;
        }
        const outcome = await send({
          preferred: options.holder(),
          onlyPreferred: false,
          peerTimeoutMs: PEER_TIMEOUT_MS,
          totalTimeoutMs: ALL_PEERS_TIMEOUT_MS,
        });
        if (outcome.type === 'unanswered') {
          const now = clock.monotonic();
          const until = types.clock.after(now, UNANSWERED_PAUSE_MS);
          pausedUntil.set(req.type, until);
        }
        return outcome;
      },
      relayToHolder(withinMs) {
        const preferred = options.holder();
        if (preferred === undefined) return Promise.resolve(NOT_RELAYED);
        const limits = {peerTimeoutMs: withinMs, totalTimeoutMs: withinMs};
        return send({preferred, onlyPreferred: true, ...limits});
      },
      conclude: (answer) => (maybeApplied ? withUncertainty(answer) : answer),
    };
  }

  /** Waits for the holder's answer for as long as a slow store needs. */
  async function waitForHolder<Value>(
    call: TrackedCall,
    withinMs: number,
    ask: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    const askedAt = clock.monotonic();
    const relayed = await call.relayToHolder(withinMs);
    if (relayed.type === 'answered') return answerOf(relayed.res);
    if (relayed.maybeApplied) return {type: 'unknown'};
    if (clock.monotonic() - askedAt < MAX_DIRECT_DELAY_MS) return ask();
    return {type: 'not_run', retryAfterMs: RETRY_AFTER_MS};
  }

  /**
   * Forwards a call that the store refused here to the holder, whose appends
   * the store may still accept. Other peers are asked only if the store refuses
   * this entry altogether: when too many appends are queued, calls that go from
   * peer to peer are refused by each of them and keep the queue full.
   */
  async function forwardRefused<Value>(
    call: TrackedCall,
    refused: jobService.JobServiceAnswer<Value>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    const viaHolder = await call.relayToHolder(PEER_TIMEOUT_MS);
    if (viaHolder.type === 'answered') return answerOf(viaHolder.res);
    if (viaHolder.isSlow) {
      const answerRefused = () => Promise.resolve(refused);
      return waitForHolder(call, SLOW_RETRY_TIMEOUT_MS, answerRefused);
    }
    if (options.storeReachable()) return refused;
    const relayed = await call.relayToAny();
    return relayed.type === 'answered' ? answerOf(relayed.res) : refused;
  }

  /** Returns the local answer, or a peer's answer where that is better. */
  async function serve<Value>(
    req: peerProtocol.RelayReq,
    ask: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    const call = trackCall(req);
    return call.conclude(await serveTracked(call, ask));
  }

  async function serveTracked<Value>(
    call: TrackedCall,
    ask: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>> {
    if (!options.storeReachable()) {
      const relayed = await call.relayToAny();
      return relayed.type === 'answered' ? answerOf(relayed.res) : ask();
    }
    const latencyMs = localService.storeLatencyMs();
    if (latencyMs !== undefined && latencyMs > SLOW_STORE_MS) {
      return waitForHolder(call, SLOW_HOLDER_TIMEOUT_MS, ask);
    }
    // Without a recent append an entry doesn't know the store's latency. The
    // holder does, because it appends all the time. Before entries asked the
    // holder, each of 45 entries sent one append to a slow store before it
    // knew; this made a queue of 19 s, the store refused all appends for 6 s,
    // and 234 of 360 jobs were lost.
    const viaHolder =
      latencyMs === undefined
        ? await call.relayToHolder(PEER_TIMEOUT_MS)
        : NOT_RELAYED;
    if (viaHolder.type === 'answered') return answerOf(viaHolder.res);
    if (viaHolder.isSlow)
      return waitForHolder(call, SLOW_RETRY_TIMEOUT_MS, ask);
    const direct = await ask();
    if (direct.type === 'not_run') return forwardRefused(call, direct);
    if (direct.type !== 'unknown') return direct;
    const relayed = await call.relayToAny();
    return relayed.type === 'answered' ? answerOf(relayed.res) : direct;
  }

  return {
    submit: (id, policy, request, caller) =>
      serve({type: 'submit', id, caller, policy, request}, () =>
        localService.submit(id, policy, request, caller),
      ),
    cancel: (id, queue, caller) =>
      serve({type: 'cancel', id, caller, queue}, () =>
        localService.cancel(id, queue, caller),
      ),
    async phaseOf(id, queue, caller) {
      if (options.storeReachable() && localService.isCurrent()) {
        const direct = await localService.phaseOf(id, queue, caller);
        if (direct.type !== 'not_run') return direct;
      }
      const final = await localService.finalPhaseOf(id, queue, caller);
      if (final.type === 'ok') return final;
      const call = trackCall({type: 'phase', id, caller, queue});
      const relayed = await call.relayToAny();
      if (relayed.type === 'answered') return answerOf(relayed.res);
      return localService.phaseOf(id, queue, caller);
    },
    async pendingIn(queue) {
      const direct = await localService.pendingIn(queue);
      if (direct.type === 'ok') return direct;
      const relayed = await trackCall({type: 'pending', queue}).relayToAny();
      return relayed.type === 'answered' ? answerOf(relayed.res) : direct;
    },
    finalPhaseOf: (id, queue, caller) =>
      localService.finalPhaseOf(id, queue, caller),
    isCurrent: () => localService.isCurrent(),
    storeLatencyMs: () => localService.storeLatencyMs(),
    hasRelayedRecently: () =>
      relayedAt !== undefined &&
      clock.monotonic() - relayedAt < RELAYED_RECENTLY_MS,
  };
}

/**
 * Whether the answer proves that the peer has reached the store. Entries of a
 * failure domain that is cut off know each other's jobs and answer queries
 * about them. An entry that took such an answer as proof stayed ready, and all
 * its callers were refused for as long as the cut lasted.
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
 * The answer to a call that a peer may have applied. The peer received it
 * without answering, so the caller must not be told that nothing runs.
 */
function withUncertainty<Value>(
  answer: jobService.JobServiceAnswer<Value>,
): jobService.JobServiceAnswer<Value> {
  switch (answer.type) {
    case 'not_run':
    case 'invalid':
    case 'outdated_caller':
      return {type: 'unknown'};
    case 'ok':
    case 'absent':
    case 'unknown':
      return answer;
  }
}
