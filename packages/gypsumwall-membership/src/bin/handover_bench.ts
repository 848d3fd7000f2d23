/**
 * Measures how long a domain has no holder after its holder was killed or
 * stopped as planned: real keepers on the real clock, small fakes around.
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
  /** Its machine vanishes: calls to it time out. */
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

/** From the ending to the next holder's claim, in milliseconds. */
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

/** Runs at one time; they only wait. */
const BATCH = 10;
const ONE_WAY_MS = 1;
const LOG_APPEND_MS = 3;
const DOMAIN = types.ids.brand<types.ids.FailureDomain>('merkato-hall');

/** Measures handovers one after another in small batches. */
export async function measureHandovers(
  options: HandoverOptions,
): Promise<Handovers> {
  const histogram = hdrHistogram.build();
  for (let first = 0; first < options.runs; first += BATCH) {
    const size = Math.min(BATCH, options.runs - first);
    const spans = await Promise.all(
      Array.from({length: size}, (_, index) =>
        measureOne(options, options.seed + first + index),
      ),
    );
    for (const spanMs of spans) histogram.recordValue(Math.round(spanMs));
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
    p50Ttls: inTtls(p50Ms, options.ttlMs),
    p99Ttls: inTtls(p99Ms, options.ttlMs),
  };
}

function inTtls(spanMs: number, ttlMs: number): number {
  return Math.round((spanMs / ttlMs) * 100) / 100;
}

interface Member {
  readonly entryId: types.ids.EntryId;
  readonly keeper: claimKeeper.ClaimKeeper;
  readonly stop: AbortController;
  alive: boolean;
}

async function measureOne(
  options: HandoverOptions,
  seed: number,
): Promise<number> {
  const clock = types.clock.createSystemClock();
  const random = types.random.createRandom(seed);
  const domain = startDomain(options, clock, random);
  const holder = await domain.holder(undefined);
  // Any moment between two renewals is as likely.
  const restMs = options.ttlMs * (1 + random.next());
  await clock.sleepUntil(types.clock.after(clock.monotonic(), restMs));
  const endedAt = clock.monotonic();
  if (options.ending === 'planned_stop') {
    await holder.keeper.release();
  } else {
    holder.alive = false;
    holder.stop.abort();
  }
  await domain.holder(holder);
  const spanMs = clock.monotonic() - endedAt;
  domain.stop();
  return spanMs;
}

function startDomain(
  options: HandoverOptions,
  clock: types.clock.Clock,
  random: types.random.Random,
) {
  const members: Member[] = [];
  const log: records.domainRecords.DomainRecord[] = [];
  let onHeld: (() => void) | undefined;
  const wait = (spanMs: number) =>
    clock.sleepUntil(types.clock.after(clock.monotonic(), spanMs));

  async function append(record: records.domainRecords.DomainRecord) {
    await wait(LOG_APPEND_MS);
    const offset = log.push(record) - 1;
    for (const member of members) {
      void wait(ONE_WAY_MS).then(() => {
        if (!member.alive) return;
        member.keeper.apply(offset, record, clock.monotonic());
      });
    }
    return result.ok<{offset: number}, types.stepError.StepError>({offset});
  }

  async function call<Reply>(
    peer: claimPeers.NamedPeer,
    answer: (keeper: claimKeeper.ClaimKeeper) => Reply,
  ): Promise<Reply | claimPeers.NoReply> {
    await wait(2 * ONE_WAY_MS);
    const target = members.find((member) => member.entryId === peer.entryId);
    if (target?.alive === true) return answer(target.keeper);
    if (options.ending !== 'machine_lost') return {type: 'gone'};
    await wait(options.ttlMs / 6);
    return {type: 'silent'};
  }

  function viewOf(self: types.ids.EntryId): domainView.DomainView {
    const now = clock.monotonic();
    const peers = members
      .filter((member) => member.alive && member.entryId !== self)
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
        promise: (peer, ask) =>
          call(peer, (target) => target.answerPromise(ask)),
        witness: (peer, ask) =>
          call(peer, (target) => target.answerWitness(ask)),
      },
      onChange: (state: claimState.ClaimState) => {
        if (state.type === 'held') onHeld?.();
      },
    });
    members.push({entryId, keeper, stop, alive: true});
    return keeper.run(stop.signal);
  }

  for (let number = 0; number < options.entries; number++) void start(number);
  const heldBy = (other: Member | undefined) =>
    members.find(
      (member) =>
        member !== other &&
        member.alive &&
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
