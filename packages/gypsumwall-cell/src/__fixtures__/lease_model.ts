/**
 * Successive holders that grant leases on one worker, and what each concludes of
 * the leases of those before it. The holders are killed, released, frozen or cut
 * off; the store is slow, away or loaded anew; the worker's clock is slow, and
 * some holders reach it while others don't. The leases, their conclusions and the
 * barrier are the product's; the log, the calls and the clock are the model's.
 */
import * as types from '@gypsumwall/types';
import * as earlierLeases from '../earlier_leases.js';
import * as failoverBarrier from '../failover_barrier.js';
import * as holderHistories from '../holder_history.js';
import * as leaseBounds from '../lease_bounds.js';
import type * as storeRecords from '../store_records.js';
import * as unansweredWorkers from '../unanswered_workers.js';

const TICK_MS = 20;
const MAX_MS = 10_000;
const MIN_CLOCK_RATE = 0.98;
const HEARTBEAT_MS = 200;
const POLL_MS = 400;
const SILENCE_MS = 900;
const END_MS = 55_000;
/** Spans in which nothing is lost or cut begin after this; milliseconds. */
const TROUBLE_FROM_MS = 4_000;

const LOST = types.ids.brand<types.ids.WorkerId>('lost');
const OTHERS = ['u', 'v', 'x', 'y'].map((id) =>
  types.ids.brand<types.ids.WorkerId>(id),
);
const ALL = [LOST, ...OTHERS];
const at = (ms: number) => ms as types.clock.MonotonicMs;

/** How a holder ends. */
type End = 'kill' | 'release' | 'freeze' | 'cut';

/** What a seed draws. */
export interface LeasePlan {
  readonly seed: number;
  /** Number of changes of the holder. */
  readonly changes: number;
  /** Generations of holders whose build keeps to no bound of others. */
  readonly older?: ReadonlySet<number>;
}

/** What a play shows. */
export interface LeasePlay {
  /** Descriptions of leases that were still running when they counted as over. */
  readonly faults: readonly string[];
  /** Number of times that the worker was accounted for by the expiry of leases. */
  readonly expiries: number;
  /** Number of these for which a bound, or an unanswered worker, counted. */
  readonly shortened: number;
}

interface LogRecord {
  readonly storedAt: number;
  readonly generation: number;
  readonly claim?: storeRecords.ClaimRecord;
  readonly takeover?: storeRecords.TakeoverState;
  readonly worker?: storeRecords.UsedWorkerRecord;
}

interface Span {
  readonly from: number;
  readonly until: number;
}

/** Plays a plan to its end. */
export async function playLeases(plan: LeasePlan): Promise<LeasePlay> {
  const random = types.random.createRandom(plan.seed);
  const below = (ms: number) => Math.floor(random.next() * ms);
  const chance = (share: number) => random.next() < share;
  const faults: string[] = [];
  let now = 0;
  const clock: types.clock.Clock = {
    ...types.clock.createSystemClock(),
    monotonic: () => at(now),
  };
  const log: LogRecord[] = [];
  const rate = 1 - random.next() * (1 - MIN_CLOCK_RATE);
  const tokens = new Map(ALL.map((id) => [id, -1]));
  const grants: {generation: number; endsAt: number}[] = [];
  const accounted: {generation: number; accountedAt: number}[] = [];
  let expiries = 0;
  let shortened = 0;

  const drawSpan = (): Span => {
    const from = TROUBLE_FROM_MS + below(30_000);
    return {from, until: from + 300 + below(9_000)};
  };
  const spans = (count: number) =>
    Array.from({length: below(count + 1)}, drawSpan);
  const isIn = (all: readonly Span[]) =>
    all.some(({from, until}) => now >= from && now < until);
  const slowStore = spans(2);
  const awayStore = spans(1);
  const lostAt = chance(0.7) ? TROUBLE_FROM_MS + below(14_000) : Infinity;
  /**
   * From then on, holders up to a generation reach one side of the workers, and
   * later ones the other side.
   */
  let partition: (Span & {generation: number; side: Set<string>}) | undefined;
  /** Some holders reach the worker after it is lost to the others. */
  const reachesLost = new Set<number>();

  const storeDelay = () => {
    if (isIn(slowStore) || chance(0.03)) return 200 + below(2_800);
    return 10 + below(90);
  };
  const readDelay = () => (chance(0.03) ? below(3_000) : 20 + below(180));

  function currentClaim(): LogRecord | undefined {
    return log.findLast(({claim}) => claim?.state === 'held');
  }

  /** An entry that reads the log, and then holds the cell. */
  function createEntry(generation: number) {
    const keepsBounds = plan.older?.has(generation) !== true;
    const history = holderHistories.createHolderHistory();
    const cuts = [...spans(1)];
    const lostCuts = chance(0.4) ? spans(2) : [];
    const otherCuts = new Map(OTHERS.map((id) => [id, spans(1)]));
    // An entry that reads nothing for a while loads the log anew.
    const blind = chance(0.4) ? [...spans(1), ...spans(1)] : [];
    let isLoadDue = chance(0.1);
    if (chance(0.4)) reachesLost.add(generation);
    let read = 0;
    let nextReadAt = 0;
    let workerRecord: storeRecords.UsedWorkerRecord = {};
    let newest: storeRecords.ClaimRecord | undefined;
    let claimSentAt = 0;
    let claimStoredAt: number | undefined;
    let state: 'standby' | 'claiming' | 'holder' | 'stopped' = 'standby';
    let holder: ReturnType<typeof createHolder> | undefined;
    let isFrozen = false;
    let frozenUntil = 0;
    let isCut = false;
    let isReleasing = false;

    const isStoreReached = () => !isCut && !isIn(cuts) && !isIn(awayStore);

    function apply(records: readonly LogRecord[]): void {
      if (records.some(({claim}) => claim === undefined))
        history.onRecordsRead(at(now));
      for (const record of records) {
        if (record.claim !== undefined) {
          newest = record.claim;
          history.onClaim(record.claim, at(now));
        } else if (record.worker !== undefined)
          workerRecord = {...record.worker, readAt: at(now)};
        else history.onTakeoverRead(record.takeover, at(now));
      }
    }

    /** Reads the newest record of each kind, as after a restart. */
    function load(): void {
      const newestOf = (isKind: (record: LogRecord) => boolean) =>
        log.findLastIndex(isKind);
      const isHeartbeat = ({claim, worker}: LogRecord) =>
        claim === undefined && worker === undefined;
      const positions = [
        newestOf(({worker}) => worker !== undefined),
        newestOf(({claim}) => claim !== undefined),
        newestOf(isHeartbeat),
      ];
      const known = positions.filter((position) => position >= 0);
      history.onReloaded();
      apply(known.sort((a, b) => a - b).map((position) => log[position]!));
    }

    function readLog(): void {
      if (now < nextReadAt || !isStoreReached()) return;
      if (state === 'standby' && isIn(blind)) {
        isLoadDue = true;
        return;
      }
      nextReadAt = now + readDelay();
      catchUp();
    }

    function catchUp(): void {
      if (read === log.length) return;
      if (isLoadDue) load();
      else apply(log.slice(read));
      isLoadDue = false;
      read = log.length;
    }

    function createHolder() {
      const usedWorkers = new Map<
        types.ids.WorkerId,
        storeRecords.UsedWorkerRecord
      >(OTHERS.map((id) => [id, {}]));
      usedWorkers.set(LOST, workerRecord);
      const own = newest!;
      const earlier = earlierLeases.createEarlierLeases({
        usedWorkers,
        holders: history.holders(),
        keepsBoundsSince: own.keepsBoundsSince ?? generation,
        maxMs: MAX_MS,
      });
      const barrier = failoverBarrier.createFailoverBarrier(
        earlier.workers,
        earlier.bounds,
        () => {},
        earlier.byWorker,
      );
      let queue: {record: Partial<LogRecord>; resolve: () => void}[] = [];
      let batch:
        | {
            readonly entries: typeof queue;
            readonly sentAt: number;
            storeAt: number;
            confirmAt: number;
            isStored: boolean;
          }
        | undefined;
      let firstSentAt = claimSentAt;
      let confirmedAt = claimSentAt;
      let lastSentAt = now;
      const lastAskedAt = new Map<types.ids.WorkerId, number>();
      const nextPollAt = new Map(ALL.map((id) => [id, now + below(POLL_MS)]));
      const failed = new Set<types.ids.WorkerId>();
      let clearance: 'none' | 'waiting' | 'given' = 'none';
      let hasLongRunning = chance(0.6);
      const write = (record: Partial<LogRecord>) =>
        new Promise<void>((resolve) => queue.push({record, resolve}));
      const heartbeat = () => ({takeover: unanswered.takeover()});
      const unanswered = unansweredWorkers.createUnansweredWorkers({
        generation,
        workers: earlier.workers,
        isSilent: (id) => failed.has(id),
        hasMajority: () => barrier.hasMajority(),
        publish: () => write(keepsBounds ? heartbeat() : {takeover: undefined}),
      });
      const leases = leaseBounds.createWorkerLeases({
        maxMs: MAX_MS,
        generation,
        earlierMs: earlier.longestMs(LOST) ?? 0,
        boundMs: keepsBounds ? earlier.boundMs(LOST) : undefined,
        view: () => ({hasLongRunning, isLeaving: false}),
        firstSentAt: () => at(firstSentAt),
        store: (bound) => write({worker: bound}),
        clock,
      });
      const isShort =
        earlier.byWorker.get(LOST)!.latestAt < earlier.bounds.latestAt;

      function advanceWriter(): void {
        if (batch === undefined) {
          const isDue = queue.length > 0 || now - lastSentAt >= HEARTBEAT_MS;
          if (!isDue) return;
          if (queue.length === 0)
            void write(keepsBounds ? heartbeat() : {takeover: undefined});
          const storeAt = now + storeDelay();
          batch = {
            entries: queue,
            sentAt: now,
            storeAt,
            confirmAt: storeAt + (chance(0.05) ? below(4_000) : below(60)),
            isStored: false,
          };
          queue = [];
          lastSentAt = now;
        }
        if (!batch.isStored && now >= batch.storeAt) {
          if (!isStoreReached()) batch.storeAt = now + 300;
          else if (currentClaim()!.generation !== generation) {
            state = 'stopped';
            return;
          } else {
            batch.isStored = true;
            for (const {record} of batch.entries)
              log.push({storedAt: now, generation, ...record});
          }
          batch.confirmAt = Math.max(batch.confirmAt, now);
        }
        if (!batch.isStored || now < batch.confirmAt || !isStoreReached())
          return;
        firstSentAt = batch.sentAt;
        confirmedAt = batch.sentAt;
        for (const {resolve} of batch.entries) resolve();
        batch = undefined;
      }

      function mayRenew(): boolean {
        if (isReleasing) return false;
        const ageMs = now - confirmedAt;
        if (ageMs > leaseBounds.RENEW_UNCONFIRMED_MS) return false;
        if (ageMs < leaseBounds.MAJORITY_CHECK_MS) return true;
        let reachable = 0;
        for (const askedAt of lastAskedAt.values())
          if (askedAt >= now - leaseBounds.MAX_ANSWER_AGE_MS) reachable++;
        return reachable / ALL.length > 0.5;
      }

      function isReached(id: types.ids.WorkerId): boolean {
        if (id !== LOST && isIn(otherCuts.get(id)!)) return false;
        if (partition !== undefined && isIn([partition])) {
          const isOnSide = partition.side.has(id);
          if (isOnSide !== generation <= partition.generation) return false;
        }
        if (id !== LOST) return true;
        if (isIn(lostCuts)) return false;
        return now < lostAt || reachesLost.has(generation);
      }

      function poll(id: types.ids.WorkerId): void {
        if (now < nextPollAt.get(id)!) return;
        nextPollAt.set(id, now + 50 + below(POLL_MS));
        if (!isReached(id)) {
          failed.add(id);
          return;
        }
        if (tokens.get(id)! > generation) {
          state = 'stopped';
          return;
        }
        tokens.set(id, generation);
        if (id === LOST && clearance !== 'given') {
          if (clearance === 'none') {
            clearance = 'waiting';
            void unanswered.onAnswered(id).then(() => (clearance = 'given'));
          }
          return;
        }
        lastAskedAt.set(id, now);
        if (id !== LOST) void unanswered.onAnswered(id);
        barrier.markAccounted(id, at(now));
        if (id === LOST) grant();
      }

      function grant(): void {
        if (!mayRenew()) return;
        const endsAt = now + leases.grantMs() / rate;
        grants.push({generation, endsAt});
        const early = accounted.find((one) => one.generation > generation);
        if (early !== undefined)
          faults.push(
            `${generation} grants at ${now}; ${early.generation} counted its leases as over at ${early.accountedAt}`,
          );
      }

      function checkBarrier(): void {
        if (barrier.isAccounted(LOST)) return;
        barrier.tick(at(now));
        if (!barrier.isAccounted(LOST)) return;
        expiries++;
        if (isShort) shortened++;
        accounted.push({generation, accountedAt: now});
        for (const {generation: by, endsAt} of grants) {
          if (by < generation && endsAt > now)
            faults.push(
              `a lease of ${by} ends at ${Math.round(endsAt)}; ${generation} counted it as over at ${now}`,
            );
        }
      }

      return {
        step() {
          if (chance(0.002)) hasLongRunning = !hasLongRunning;
          advanceWriter();
          for (const id of ALL) if (state === 'holder') poll(id);
          if (state !== 'holder') return;
          checkBarrier();
          unanswered.tick();
        },
        release() {
          isReleasing = true;
          unanswered.listAll();
          const released = {...own, state: 'released' as const};
          void write(keepsBounds ? heartbeat() : {takeover: undefined});
          void write({claim: released});
        },
      };
    }

    return {
      generation,
      isHolder: () => state === 'holder',
      isStopped: () => state === 'stopped',
      end(how: End): void {
        switch (how) {
          case 'kill':
            state = 'stopped';
            return;
          case 'release':
            holder?.release();
            return;
          case 'freeze':
            frozenUntil = now + 1_000 + below(12_000);
            return;
          case 'cut':
            isCut = true;
            return;
        }
      },
      /** Begins a claim if it has read that the cell is vacant. */
      claim(
        before: storeRecords.ClaimRecord | undefined,
        instance = `instance-${generation}`,
      ): boolean {
        if (!isStoreReached()) return false;
        catchUp();
        state = 'claiming';
        claimSentAt = now;
        const storedAt = now + 10 + below(120);
        claimStoredAt = storedAt;
        const claim: storeRecords.ClaimRecord = {
          holder: types.ids.brand(`entry-${generation}`),
          instance,
          generation,
          state: 'held',
          keepsBoundsSince: keepsBounds
            ? (before?.keepsBoundsSince ?? generation)
            : undefined,
        };
        log.push({storedAt, generation, claim});
        nextReadAt = storedAt + readDelay();
        return true;
      },
      newest: () => newest,
      step(): void {
        if (state === 'stopped') return;
        if (now < frozenUntil) {
          isFrozen = true;
          return;
        }
        isFrozen = false;
        if (state === 'claiming' && now < claimStoredAt!) return;
        readLog();
        if (newest !== undefined && newest.generation > generation)
          state = 'stopped';
        if (state === 'claiming' && newest?.generation === generation) {
          state = 'holder';
          holder = createHolder();
        }
        if (state === 'holder') holder!.step();
      },
      isFrozen: () => isFrozen,
    };
  }

  type Entry = ReturnType<typeof createEntry>;
  const entries: Entry[] = Array.from({length: plan.changes + 1}, (_, nth) =>
    createEntry(nth),
  );
  entries[0]!.claim(undefined);
  let next = 1;
  let endedAt: number | undefined;
  let wasKilled = false;
  let endAt = TROUBLE_FROM_MS + below(16_000);
  for (; now < END_MS; now += TICK_MS) {
    for (const entry of entries) entry.step();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    const current = entries[next - 1]!;
    if (next >= entries.length) continue;
    if (endedAt === undefined && now >= endAt && current.isHolder()) {
      const how = (['kill', 'release', 'freeze', 'cut'] as const)[below(4)]!;
      current.end(how);
      wasKilled = how === 'kill';
      if (how === 'cut' && chance(0.7)) {
        const side = new Set<string>(OTHERS.filter(() => chance(0.4)));
        if (chance(0.7)) side.add(LOST);
        const {generation} = current;
        const until = now + 2_000 + below(18_000);
        partition = {from: now, until, generation, side};
      }
      endedAt = now;
    }
    if (endedAt === undefined && current.isStopped()) endedAt = now;
    if (endedAt === undefined) continue;
    const claim = log.findLast((one) => one.claim !== undefined)!.claim!;
    const lastStoredAt = log.at(-1)!.storedAt;
    const isVacant =
      claim.state === 'released' || now - lastStoredAt > SILENCE_MS;
    if (!isVacant || lastStoredAt > now) continue;
    const successor = entries[next]!;
    // The instance of a killed process may run the next one.
    const isRestarted = wasKilled && chance(0.5);
    const instance = isRestarted ? claim.instance : undefined;
    if (!successor.claim(claim, instance)) continue;
    wasKilled = false;
    next++;
    endedAt = undefined;
    endAt = now + 300 + (chance(0.5) ? below(3_000) : below(12_000));
  }
  return {faults, expiries, shortened};
}
