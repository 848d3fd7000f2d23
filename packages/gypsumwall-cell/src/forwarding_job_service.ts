/**
 * The job service that callers use. Calls that append to the store go through
 * one entry that combines them (`choose_appender.ts`), or through the one that
 * takes its place. An entry appends by itself while neither is alive or the store
 * refuses them, and forwards its calls to any peer while the store refuses this
 * entry. Queries are answered locally, and forwarded until this entry has read
 * the records it missed.
 */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as callAttempts from './call_attempts.js';
import type * as jobServiceTypes from './job_service_types.js';
import type * as peerDirectory from './peer_directory.js';
import type * as peerProtocol from './peer_protocol.js';
import * as recentAttempts from './recent_attempts.js';

/**
 * Timeout of a call through the entry that appends, enough for several appends
 * of a slow store; callers wait for 3 s; milliseconds.
 */
const APPENDER_TIMEOUT_MS = 2_500;
/**
 * Timeout of a query to the holder, which answers without the store;
 * milliseconds.
 */
const PHASE_TIMEOUT_MS = 400;
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
/** When a caller should retry while the holder is lost; milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** How long an entry counts as served by its peers; milliseconds. */
const RELAYED_RECENTLY_MS = 1_500;

/** The outcome if no peer was asked. */
const NOT_RELAYED = {
  type: 'unanswered',
  maybeApplied: false,
  isSlow: false,
} as const;

/** A call of a caller in progress, and the attempts to carry it out. */
interface TrackedCall {
  /** Carries the call out in this entry's local job service. */
  carryOut(): Promise<callAttempts.CallAnswer>;
  /** Forwards the call like `relayToAny` of the service. */
  relayToAny(): Promise<peerDirectory.RelayOutcome>;
  /** Forwards the call to the entry that appends it now. */
  relayToAppender(): Promise<peerDirectory.RelayOutcome>;
  /** Forwards the call to the entry that takes the holder's place. */
  relayToSubstitute(): Promise<peerDirectory.RelayOutcome>;
  /** The final answer, given what the attempts may have caused. */
  conclude(answer: callAttempts.CallAnswer): callAttempts.CallAnswer;
}

/** The calls of callers that change something. */
type EffectiveReq = Extract<
  peerProtocol.RelayReq,
  {readonly type: 'submit' | 'cancel'}
>;

/** Options of a forwarding job service. */
export interface ForwardingJobServiceOptions {
  readonly local: jobServiceTypes.JobService;
  readonly peers: peerDirectory.PeerDirectory;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly storeReachable: () => boolean;
  /** Whether the store has answered a read quickly just now. */
  readonly isStoreQuick: () => boolean;
  /** Instance that holds the cell; undefined if it is this one or none. */
  readonly holder: () => string | undefined;
  /** Instance that appends the calls of this entry; undefined if it is this one. */
  readonly appender: () => string | undefined;
  /** The same while the holder takes no calls of this entry. */
  readonly substituteAppender: () => string | undefined;
  /** Called when a caller is told that its job will never run. */
  readonly onJobRefused: (
    id: types.ids.JobId,
    arrivedAt: types.clock.WallMs,
  ) => void;
}

/** A job service that can reach the store through peers. */
export interface ForwardingJobService extends jobServiceTypes.JobService {
  /** Whether a peer has stored a record for this entry recently. */
  hasRelayedRecently(): boolean;
}

/** Creates the job service. */
export function createForwardingJobService(
  options: ForwardingJobServiceOptions,
): ForwardingJobService {
  const {local: localService, peers, clock, logger} = options;
  const recentCalls = {
    submit: recentAttempts.createRecentAttempts(clock),
    cancel: recentAttempts.createRecentAttempts(clock),
  };
  let relayedAt: types.clock.MonotonicMs | undefined;
  const pausedUntil = new Map<
    peerProtocol.RelayReq['type'],
    types.clock.MonotonicMs
  >();

  async function relay(
    req: peerProtocol.RelayReq,
    limits: peerDirectory.RelayLimits,
  ): Promise<peerDirectory.RelayOutcome> {
    return logOutcome(req, await peers.relay(req, limits));
  }

  function logOutcome(
    req: peerProtocol.RelayReq,
    outcome: peerDirectory.RelayOutcome,
  ): peerDirectory.RelayOutcome {
    const answered = outcome.type === 'answered';
    if (answered && req.type === 'phase') return outcome;
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

  /**
   * Forwards a call to any peer, unless none could answer a call of this type a
   * moment ago.
   */
  async function relayToAny(
    req: peerProtocol.RelayReq,
  ): Promise<peerDirectory.RelayOutcome> {
    if (clock.monotonic() < (pausedUntil.get(req.type) ?? 0)) {
      return NOT_RELAYED;
    }
    const outcome = await relay(req, {
      preferred: options.holder(),
      peerTimeoutMs: PEER_TIMEOUT_MS,
      totalTimeoutMs: ALL_PEERS_TIMEOUT_MS,
    });
    if (outcome.type === 'unanswered') {
      const until = types.clock.after(clock.monotonic(), UNANSWERED_PAUSE_MS);
      pausedUntil.set(req.type, until);
    }
    return outcome;
  }

  async function relayTo(
    instance: string | undefined,
    req: peerProtocol.RelayReq,
    withinMs: number,
  ): Promise<peerDirectory.RelayOutcome> {
    if (instance === undefined) return NOT_RELAYED;
    return logOutcome(req, await peers.relayTo(instance, req, withinMs));
  }

  function concludeWith(
    {type, id, caller}: EffectiveReq,
    attempts: callAttempts.CallAttempts,
    answer: callAttempts.CallAnswer,
  ): callAttempts.CallAnswer {
    switch (type) {
      case 'submit':
        return attempts.conclude(answer, localService.isStored(id, caller));
      case 'cancel': {
        // A job may arrive in the log after a peer has found none.
        const isEarly =
          answer.type === 'absent' &&
          recentCalls.submit.mayBeApplied(id, caller);
        return attempts.conclude(isEarly ? {type: 'unknown'} : answer);
      }
    }
  }

  function trackCall(
    req: EffectiveReq,
    carryOut: () => Promise<callAttempts.CallAnswer>,
  ): TrackedCall {
    const attempts = recentCalls[req.type].open(req.id, req.caller);
    const arrivedAt = clock.wall();
    return {
      carryOut: () => attempts.runLocally('own', carryOut),
      relayToAny: () => attempts.runAtPeers('any_peer', () => relayToAny(req)),
      relayToAppender: () =>
        attempts.runAtPeers('appender', () =>
          relayTo(options.appender(), req, APPENDER_TIMEOUT_MS),
        ),
      relayToSubstitute: () =>
        attempts.runAtPeers('substitute', () =>
          relayTo(options.substituteAppender(), req, APPENDER_TIMEOUT_MS),
        ),
      conclude(answer) {
        const concluded = concludeWith(req, attempts, answer);
        if (concluded.type !== 'ok') {
          logger.info('call_concluded', {
            job: req.id,
            call: req.type,
            outcome: concluded.type,
            attempts: attempts.describe(),
          });
        }
        if (req.type === 'submit' && callAttempts.isRefusal(concluded))
          options.onJobRefused(req.id, arrivedAt);
        return concluded;
      },
    };
  }

  /**
   * Refuses a job that the cell can't take on. One that may have been accepted
   * before is not refused.
   */
  function shedLoad(req: EffectiveReq): callAttempts.CallAnswer | undefined {
    if (req.type !== 'submit') return undefined;
    const {id, caller, policy, request} = req;
    const isKnown =
      localService.isStored(id, caller) ||
      recentCalls.submit.mayBeApplied(id, caller);
    return isKnown ? undefined : localService.shed(id, policy, request, caller);
  }

  /** Returns the local answer, or a peer's answer where that is better. */
  async function serve(
    req: EffectiveReq,
    carryOut: () => Promise<callAttempts.CallAnswer>,
  ): Promise<callAttempts.CallAnswer> {
    const shed = shedLoad(req);
    const call = trackCall(req, carryOut);
    return call.conclude(shed ?? (await serveTracked(call)));
  }

  async function serveTracked(
    call: TrackedCall,
  ): Promise<callAttempts.CallAnswer> {
    if (!options.storeReachable()) {
      const relayed = await call.relayToAny();
      return relayed.type === 'answered'
        ? answerOf(relayed.res)
        : call.carryOut();
    }
    const viaAppender = await call.relayToAppender();
    if (viaAppender.type === 'answered') return answerOf(viaAppender.res);
    if (viaAppender.isSlow) return {type: 'unknown'};
    // Appends of many entries would make a queue at a slow store, which the
    // next holder would find.
    if (options.holder() !== undefined && !options.isStoreQuick())
      return {type: 'not_run', retryAfterMs: RETRY_AFTER_MS};
    const viaSubstitute = await call.relayToSubstitute();
    if (viaSubstitute.type === 'answered') return answerOf(viaSubstitute.res);
    if (viaSubstitute.isSlow) return {type: 'unknown'};
    const direct = await call.carryOut();
    switch (direct.type) {
      case 'ok':
      case 'absent':
      case 'invalid':
      case 'outdated_caller':
        return direct;
      case 'not_run':
        if (options.storeReachable()) return direct;
        break;
      case 'unknown':
        break;
    }
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
      const final = await localService.finalPhaseOf(id, queue, caller);
      if (final.type === 'ok') return final;
      const req = {type: 'phase', id, caller, queue} as const;
      const holder = options.holder();
      const viaHolder = await relayTo(holder, req, PHASE_TIMEOUT_MS);
      if (viaHolder.type === 'answered') return answerOf(viaHolder.res);
      if (options.storeReachable() && localService.isCurrent()) {
        const direct = await localService.phaseOf(id, queue, caller);
        if (direct.type !== 'not_run') return direct;
      }
      const relayed = await relayToAny(req);
      if (relayed.type === 'answered') return answerOf(relayed.res);
      return localService.phaseOf(id, queue, caller);
    },
    async pendingIn(queue) {
      const direct = await localService.pendingIn(queue);
      if (direct.type === 'ok') return direct;
      const relayed = await relayToAny({type: 'pending', queue});
      return relayed.type === 'answered' ? answerOf(relayed.res) : direct;
    },
    finalPhaseOf: (id, queue, caller) =>
      localService.finalPhaseOf(id, queue, caller),
    shed: (...args) => localService.shed(...args),
    isStored: (id, caller) => localService.isStored(id, caller),
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
): jobServiceTypes.JobServiceAnswer<Value> {
  return res as jobServiceTypes.JobServiceAnswer<Value>;
}
