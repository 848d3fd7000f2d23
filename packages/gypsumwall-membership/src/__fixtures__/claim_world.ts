/**
 * A failure domain's entries, its log stream, the platform's list and a
 * worker on virtual time, all of which fail on command. The claim keepers in
 * it are the real ones; what is under test is whether two of them can hold
 * the claim at one moment, or a start of a replaced holder gets through.
 */
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as claimKeeper from '../claim_keeper.js';
import type * as claimPeers from '../claim_peers.js';
import type * as domainView from '../domain_view.js';
import * as claimFaults from './claim_faults.js';
import * as claimInjection from './claim_injection.js';
import * as claimWorker from './claim_worker.js';
import * as fakeList from './fake_list.js';
import * as fakeNetwork from './fake_network.js';
import * as fakeStream from './fake_stream.js';
import * as virtualTime from './virtual_time.js';

/** Spans of the world, in true milliseconds. */
export const TTL_MS = 600;
export const LIST_LAG_MS = 300;
export const ALL_GONE_MS = 2_400;
const CALL_TIMEOUT_MS = 90;
const LIST_POLL_MS = 60;
const READ_POLL_MS = 40;
const START_EVERY_MS = 50;
const LONGEST_DELAY_MS = 40;
const DOMAIN = types.ids.brand<types.ids.FailureDomain>('bole-hall');
/** Clock rates in the world, within the drift that is allowed for. */
const CLOCK_RATES = [1, 1.004, 0.996];
const silentLogger = telemetry.logger.createLogger('silent');

/** A process on a machine; a machine keeps its address. */
interface Entry {
  readonly machine: number;
  readonly entryId: types.ids.EntryId;
  readonly process: virtualTime.VirtualProcess;
  readonly keeper: claimKeeper.ClaimKeeper;
  readonly stop: AbortController;
  nextOffset: number;
  /** Starts sent and not answered yet. */
  openStarts: number;
  releasing: boolean;
  listed: ReadonlySet<number>;
  /** Who last answered a heartbeat from each machine. */
  readonly heard: Map<number, types.ids.EntryId>;
  listFetchedAt?: types.clock.MonotonicMs;
  selfListedAt?: types.clock.MonotonicMs;
  isCaughtUp: boolean;
}

/** The world. */
export interface ClaimWorld {
  inject(fault: claimFaults.Fault): void;
  /** `afterEvent` may inject between any two events. */
  run(forMs: number, afterEvent?: () => void): Promise<void>;
  /** Machines whose process holds the claim now. */
  holders(): readonly number[];
  /** What must never happen and did; empty when all is well. */
  violations(): readonly string[];
  /** How often a claim changed hands. */
  readonly counts: {claims: number; starts: number};
  now(): number;
  stop(): Promise<void>;
}

/** Starts a world with processes on machines 0 to `machines - 1`. */
export function createClaimWorld(machines: number, seed: number): ClaimWorld {
  const time = virtualTime.createVirtualTime();
  const random = types.random.createRandom(seed);
  const entries = new Map<number, Entry>();
  const found: string[] = [];
  const counts = {claims: 0, starts: 0};
  const faults = claimFaults.createLastingFaults(time);
  const stream = fakeStream.createFakeStream({
    time,
    random,
    faults,
    longestDelayMs: LONGEST_DELAY_MS,
    timeoutMs: CALL_TIMEOUT_MS,
    latestMs: 3 * TTL_MS,
  });
  const list = fakeList.createFakeList(time, random, faults, LIST_LAG_MS);
  const worker = claimWorker.createClaimWorker(time, 0.998);
  const runs: Array<Promise<void>> = [];
  let lastHolder = 0;
  let born = 0;

  const delay = () => random.integer(0, LONGEST_DELAY_MS);
  const network = fakeNetwork.createFakeNetwork({
    time,
    random,
    faults,
    longestDelayMs: LONGEST_DELAY_MS,
    timeoutMs: CALL_TIMEOUT_MS,
  });

  /** Sends a call to an address; whoever listens there answers. */
  function call<Reply>(
    from: Entry,
    peer: claimPeers.NamedPeer,
    answer: (keeper: claimKeeper.ClaimKeeper) => Reply,
  ): Promise<Reply | claimPeers.NoReply> {
    const machine = Number(peer.address);
    return network.call<Reply | claimPeers.NoReply>({
      from,
      machine,
      silent: {type: 'silent'},
      refused: {type: 'gone'},
      listener: () => entries.get(machine),
      answer: () => {
        const target = entries.get(machine);
        if (target === undefined) return {type: 'silent'};
        const value = answer(target.keeper);
        return target.entryId === peer.entryId ? value : {type: 'gone'};
      },
    });
  }

  function viewOf(entry: Entry): domainView.DomainView {
    const peers = [...entry.listed]
      .filter((machine) => machine !== entry.machine)
      .map((machine) => {
        const peer = entries.get(machine);
        const answers =
          peer?.process.isAlive() === true &&
          !peer.process.isPaused() &&
          network.reaches(entry.machine, machine);
        if (answers) entry.heard.set(machine, peer.entryId);
        return {
          entryId:
            entry.heard.get(machine) ?? types.ids.brand<types.ids.EntryId>(''),
          failureDomain: DOMAIN,
          address: String(machine),
          state: answers ? ('live' as const) : ('silent' as const),
          configOffset: 0,
        };
      });
    const {listFetchedAt, selfListedAt} = entry;
    return {peers, workers: [], upstreams: [], listFetchedAt, selfListedAt};
  }

  function fetchList(entry: Entry) {
    if (!entry.process.isAlive()) return;
    const askedAt = entry.process.clock.monotonic();
    if (list.isReached(entry.machine)) {
      const listed = list.fetch();
      entry.process.deliverAt(time.now() + delay(), () => {
        entry.listed = new Set(listed);
        entry.listFetchedAt = entry.process.clock.monotonic();
        if (listed.includes(entry.machine)) entry.selfListedAt = askedAt;
      });
    }
    const nextAt = time.now() + LIST_POLL_MS;
    entry.process.deliverAt(nextAt, () => fetchList(entry));
  }

  function readLog(entry: Entry) {
    if (!entry.process.isAlive()) return;
    entry.isCaughtUp = stream.isReached(entry.machine);
    if (entry.isCaughtUp) {
      const from = entry.nextOffset;
      const page = stream.recordsFrom(from);
      entry.process.deliverAt(time.now() + delay(), () => {
        for (const [index, record] of page.entries()) {
          if (from + index < entry.nextOffset) continue;
          entry.nextOffset = from + index + 1;
          const readAt = entry.process.clock.monotonic();
          entry.keeper.apply(from + index, record, readAt);
        }
      });
    }
    const nextAt = time.now() + READ_POLL_MS;
    entry.process.deliverAt(nextAt, () => readLog(entry));
  }

  /** What a holder does: checks its claim, then starts at the worker. */
  function startTasks(entry: Entry) {
    if (!entry.process.isAlive()) return;
    const state = entry.keeper.state();
    if (state.type === 'held' && !entry.releasing) {
      const leftMs = state.deadline - entry.process.clock.monotonic();
      const startBy = worker.now() + leftMs;
      // The start may be on its way, or its sender paused, for long.
      const arrivesAt = time.now() + random.integer(0, TTL_MS);
      entry.openStarts++;
      time.at(arrivesAt, () => {
        acceptStart(state.epoch, startBy);
        entry.openStarts--;
      });
    } else if (entry.releasing && entry.openStarts === 0) {
      void entry.keeper.release();
      return;
    }
    const nextAt = time.now() + START_EVERY_MS;
    entry.process.deliverAt(nextAt, () => startTasks(entry));
  }

  function acceptStart(epoch: number, startBy: number) {
    if (!worker.accepts(epoch, startBy)) return;
    counts.starts++;
    const others = holding().filter((entry) => epochOf(entry) !== epoch);
    if (others.length === 0) return;
    found.push(`${time.now()}: start of ${epoch} accepted beside a holder`);
  }

  function epochOf(entry: Entry): number | undefined {
    const state = entry.keeper.state();
    return state.type === 'held' ? state.epoch : undefined;
  }

  function holding(): readonly Entry[] {
    return [...entries.values()].filter(
      (entry) => entry.process.isAlive() && epochOf(entry) !== undefined,
    );
  }

  function isAlive(machine: number): boolean {
    return entries.get(machine)?.process.isAlive() === true;
  }

  /** The machine that a fault is aimed at. */
  function aim(target: claimFaults.Target): number {
    if (typeof target === 'number') return target;
    const keeper = entries.get(lastHolder)?.keeper;
    const name = keeper?.newest()?.named[0]?.split('#')[0];
    const named = name === undefined ? 1 - lastHolder : Number(name);
    switch (target) {
      case 'holder':
        return lastHolder;
      case 'named':
        return Math.abs(named);
      case 'spare':
        return [2, 1, 0].find((at) => at !== lastHolder && at !== named) ?? 2;
    }
  }

  function check() {
    const now = holding();
    lastHolder = now[0]?.machine ?? lastHolder;
    if (now.length < 2) return;
    const text = now.map((entry) => `${entry.entryId} ${epochOf(entry)}`);
    found.push(`${time.now()}: held by ${text.join(' and ')}`);
  }

  function spawn(machine: number) {
    const rate = CLOCK_RATES[born % CLOCK_RATES.length] ?? 1;
    const process = virtualTime.createVirtualProcess(time, rate);
    const entryId = types.ids.brand<types.ids.EntryId>(`${machine}#${born++}`);
    const stop = new AbortController();
    const keeper = claimKeeper.createClaimKeeper({
      self: entryId,
      failureDomain: DOMAIN,
      address: String(machine),
      clock: process.clock,
      random,
      logger: silentLogger,
      ttlMs: TTL_MS,
      listLagMs: LIST_LAG_MS,
      allGoneMs: ALL_GONE_MS,
      appendRecord: (record) =>
        stream.append(entry.process, entry.machine, record),
      isCaughtUp: () => entry.isCaughtUp,
      view: () => viewOf(entry),
      peers: {
        promise: (peer, ask) =>
          call(entry, peer, (target) => target.answerPromise(ask)),
        witness: (peer, ask) =>
          call(entry, peer, (target) => target.answerWitness(ask)),
      },
      onChange: (state) => {
        if (state.type === 'held') counts.claims++;
      },
    });
    const entry: Entry = {
      machine,
      entryId,
      process,
      keeper,
      stop,
      nextOffset: 0,
      openStarts: 0,
      releasing: false,
      listed: new Set(),
      heard: new Map(),
      isCaughtUp: false,
    };
    entries.set(machine, entry);
    list.add(machine);
    network.restore(machine);
    process.deliverAt(time.now(), () => {
      fetchList(entry);
      readLog(entry);
      startTasks(entry);
      runs.push(keeper.run(stop.signal));
    });
  }

  function end(machine: number) {
    entries.get(machine)?.process.kill();
    entries.get(machine)?.stop.abort();
    list.remove(machine);
  }

  const inject = claimInjection.createInjection({
    time,
    faults,
    list,
    network,
    aim,
    isAlive,
    end,
    spawn,
    entryAt: (machine) => entries.get(machine),
  });

  for (let machine = 0; machine < machines; machine++) spawn(machine);
  return {
    inject,
    counts,
    now: () => time.now(),
    holders: () => holding().map((entry) => entry.machine),
    violations: () => found,
    run: (forMs, afterEvent) =>
      time.advanceTo(time.now() + forMs, () => {
        check();
        afterEvent?.();
      }),
    stop: async () => {
      for (const entry of entries.values()) entry.stop.abort();
      await time.advanceTo(time.now() + 10 * TTL_MS, () => undefined);
    },
  };
}
