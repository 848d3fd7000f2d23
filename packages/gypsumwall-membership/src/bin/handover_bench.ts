/**
 * Measures how long a domain has no holder after its holder was killed, lost its
 * machine or stopped as planned. Uses real keepers on the real clock, with a
 * simulated log and network.
 */
import * as hdrHistogram from 'hdr-histogram-js';
import * as result from 'true-myth/result';
import type * as records from '@gypsumwall/records';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as claimKeeper from '../claim_keeper.js';
import type * as claimPeers from '../claim_peers.js';
import type * as claimState from '../claim_state.js';
import type * as domainView from '../domain_view.js';

/** How the holder ends. */
export type Ending =
  /** Its port refuses connections afterwards. */
  | 'killed'
  /** Its machine ends; calls to it time out. */
  | 'machine_lost'
  | 'planned_stop';

/** Options of `measureHandovers`. */
export interface HandoverOptions {
  readonly ending: Ending;
  readonly entries: number;
  readonly runs: number;
  readonly ttlMs: number;
  readonly seed: number;
}

/** Time from the ending to the next holder's claim. */
export interface Handovers {
  readonly ending: Ending;
  readonly runs: number;
  readonly ttlMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  readonly p50Ttls: number;
  readonly p99Ttls: number;
}

/** Number of concurrent runs; they mostly wait. */
const BATCH_SIZE = 10;
const ONE_WAY_DELAY_MS = 1;
const LOG_APPEND_MS = 3;
const DOMAIN = types.ids.brand<types.ids.FailureDomain>('merkato-hall');

/** Measures handovers in small batches, one batch after another. */
export async function measureHandovers(
  options: HandoverOptions,
): Promise<Handovers> {
  const histogram = hdrHistogram.build();
  for (let first = 0; first < options.runs; first += BATCH_SIZE) {
    const size = Math.min(BATCH_SIZE, options.runs - first);
    const durations = await Promise.all(
      Array.from({length: size}, (_, index) =>
        measureOne(options, options.seed + first + index),
      ),
    );
    for (const durationMs of durations)
      histogram.recordValue(Math.round(durationMs));
  }
  const p50Ms = histogram.getValueAtPercentile(50);
  const p99Ms = histogram.getValueAtPercentile(99);
  return {
    ending: options.ending,
    runs: options.runs,
    ttlMs: options.ttlMs,
    p50Ms,
    p99Ms,
    maxMs: histogram.maxValue,
    p50Ttls: toTtls(p50Ms, options.ttlMs),
    p99Ttls: toTtls(p99Ms, options.ttlMs),
  };
}

function toTtls(durationMs: number, ttlMs: number): number {
  return Math.round((durationMs / ttlMs) * 100) / 100;
}

interface Member {
  readonly entryId: types.ids.EntryId;
  readonly keeper: claimKeeper.ClaimKeeper;
  readonly stop: AbortController;
  isAlive: boolean;
}

async function measureOne(
  options: HandoverOptions,
  seed: number,
): Promise<number> {
  const clock = types.clock.createSystemClock();
  const random = types.random.createRandom(seed);
  const domain = startDomain(options, clock, random);
  const holder = await domain.holder(undefined);
  // Every moment between two renewals is equally likely.
  const delayMs = options.ttlMs * (1 + random.next());
  await clock.sleepUntil(types.clock.after(clock.monotonic(), delayMs));
  const endedAt = clock.monotonic();
  if (options.ending === 'planned_stop') {
    await holder.keeper.release();
  } else {
    holder.isAlive = false;
    holder.stop.abort();
  }
  await domain.holder(holder);
  const durationMs = clock.monotonic() - endedAt;
  domain.stop();
  return durationMs;
}

function startDomain(
  options: HandoverOptions,
  clock: types.clock.Clock,
  random: types.random.Random,
) {
  const members: Member[] = [];
  const log: records.domainRecords.DomainRecord[] = [];
  let onHeld: (() => void) | undefined;
  const wait = (durationMs: number) =>
    clock.sleepUntil(types.clock.after(clock.monotonic(), durationMs));

  async function append(record: records.domainRecords.DomainRecord) {
    await wait(LOG_APPEND_MS);
    const offset = log.push(record) - 1;
    for (const member of members) {
      void wait(ONE_WAY_DELAY_MS).then(() => {
        if (!member.isAlive) return;
        member.keeper.apply(offset, record, clock.monotonic());
      });
    }
    return result.ok<{offset: number}, types.stepError.StepError>({offset});
  }

  async function call<Reply>(
    peer: claimPeers.NamedPeer,
    answer: (keeper: claimKeeper.ClaimKeeper) => Reply,
  ): Promise<Reply | claimPeers.NoReply> {
    await wait(2 * ONE_WAY_DELAY_MS);
    const target = members.find((member) => member.entryId === peer.entryId);
    if (target?.isAlive === true) return answer(target.keeper);
    if (options.ending !== 'machine_lost') return {type: 'gone'};
    await wait(options.ttlMs / 6);
    return {type: 'silent'};
  }

  function viewOf(self: types.ids.EntryId): domainView.DomainView {
    const now = clock.monotonic();
    const peers = members
      .filter((member) => member.isAlive && member.entryId !== self)
      .map(({entryId}) => ({
        entryId,
        failureDomain: DOMAIN,
        address: entryId,
        state: 'live' as const,
        configOffset: 0,
      }));
    return {
      peers,
      workers: [],
      upstreams: [],
      listFetchedAt: now,
      selfListedAt: now,
    };
  }

  function start(number: number) {
    const entryId = types.ids.brand<types.ids.EntryId>(`entry-${number}`);
    const stop = new AbortController();
    const keeper = claimKeeper.createClaimKeeper({
      self: entryId,
      failureDomain: DOMAIN,
      address: entryId,
      clock,
      random,
      logger: telemetry.logger.createLogger('silent'),
      ttlMs: options.ttlMs,
      listLagMs: options.ttlMs,
      appendRecord: append,
      isCaughtUp: () => true,
      view: () => viewOf(entryId),
      peers: {
        requestPromise: (peer, req) =>
          call(peer, (target) => target.answerPromise(req)),
        requestWitness: (peer, req) =>
          call(peer, (target) => target.answerWitness(req)),
      },
      onChange: (state: claimState.ClaimState) => {
        if (state.type === 'held') onHeld?.();
      },
    });
    members.push({entryId, keeper, stop, isAlive: true});
    return keeper.run(stop.signal);
  }

  for (let number = 0; number < options.entries; number++) void start(number);
  const heldBy = (other: Member | undefined) =>
    members.find(
      (member) =>
        member !== other &&
        member.isAlive &&
        member.keeper.state().type === 'held',
    );
  return {
    /** Waits for a holder other than the given one. */
    holder: async (other: Member | undefined): Promise<Member> => {
      for (;;) {
        const holder = heldBy(other);
        if (holder !== undefined) return holder;
        await new Promise<void>((resolve) => {
          onHeld = resolve;
        });
      }
    },
    stop: () => {
      for (const member of members) member.stop.abort();
    },
  };
}
