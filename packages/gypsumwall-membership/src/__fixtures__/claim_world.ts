/**
 * A failure domain's entries, its log stream, the platform's list and a
 * worker on virtual time, all of which fail on command. The claim keepers in
 * it are the real ones; what is under test is whether two of them can hold
 * the claim at one moment, or a start of a replaced holder gets through.
 */
import * as result from 'true-myth/result';
import type * as records from '@gypsumwall/records';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as claimKeeper from '../claim_keeper.js';
import type * as claimPeers from '../claim_peers.js';
import type * as domainView from '../domain_view.js';
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

type AppendAnswer = result.Result<{offset: number}, types.stepError.StepError>;

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
  listFetchedAt?: types.clock.MonotonicMs;
  selfListedAt?: types.clock.MonotonicMs;
  caughtUp: boolean;
}

/** What may go wrong, each until a moment of true time. */
export type Fault =
  | {readonly type: 'pause'; readonly machine: number; readonly forMs: number}
  | {readonly type: 'log_down'; readonly forMs: number}
  /** Appends take effect, their answers don't arrive. */
  | {readonly type: 'answers_lost'; readonly forMs: number}
  /** Appends fail at the caller and take effect later. */
  | {readonly type: 'appends_late'; readonly forMs: number}
  | {
      readonly type: 'cut_from_log' | 'cut_from_list';
      readonly machine: number;
      readonly forMs: number;
    }
  | {
      readonly type: 'cut_between';
      readonly machine: number;
      readonly other: number;
      readonly forMs: number;
    }
  /** The process ends; its address refuses connections. */
  | {readonly type: 'kill'; readonly machine: number}
  /** The machine ends: nothing answers at its address any more. */
  | {readonly type: 'lose_machine'; readonly machine: number}
  /** A new process that remembers nothing, at the same address. */
  | {readonly type: 'restart'; readonly machine: number}
  | {readonly type: 'release'; readonly machine: number};

/** The world. */
export interface ClaimWorld {
  inject(fault: Fault): void;
  run(forMs: number): Promise<void>;
  /** Machines whose process holds the claim now. */
  holders(): readonly number[];
  /** What must never happen and did; empty when all is well. */
  violations(): readonly string[];
  /** How often a claim changed hands. */
  readonly counts: {claims: number; starts: number; promiseRenewals: number};
  now(): number;
  stop(): Promise<void>;
}

/** Starts a world with processes on machines 0 to `machines - 1`. */
export function createClaimWorld(machines: number, seed: number): ClaimWorld {
  const time = virtualTime.createVirtualTime();
  const random = types.random.createRandom(seed);
  const log: records.domainRecords.DomainRecord[] = [];
  const entries = new Map<number, Entry>();
  const lost = new Set<number>();
  const found: string[] = [];
  const counts = {claims: 0, starts: 0, promiseRenewals: 0};
  const until = new Map<string, number>();
  const offListAt = new Map<number, number>();
  const worker = virtualTime.createVirtualProcess(time, 0.998);
  const runs: Array<Promise<void>> = [];
  let workerEpoch = -1;
  let born = 0;

  const active = (fault: string) => time.now() < (until.get(fault) ?? 0);
  const delay = () => random.integer(0, LONGEST_DELAY_MS);
  const reachesLog = (machine: number) =>
    !active('log_down') && !active(`cut_from_log ${machine}`);
  const reaches = (from: number, to: number) =>
    !active(`cut_between ${from} ${to}`);

  function append(
    entry: Entry,
    record: records.domainRecords.DomainRecord,
  ): Promise<AppendAnswer> {
    const land = () => {
      log.push(record);
      return log.length - 1;
    };
    return new Promise((resolve) => {
      const answerAt = (moment: number, answer: AppendAnswer) =>
        entry.process.deliverAt(moment, () => resolve(answer));
      time.at(time.now() + delay(), () => {
        const giveUpAt = time.now() + CALL_TIMEOUT_MS;
        if (!reachesLog(entry.machine)) {
          answerAt(giveUpAt, appendError('not_run'));
        } else if (active('appends_late')) {
          time.at(time.now() + random.integer(0, 3 * TTL_MS), land);
          answerAt(giveUpAt, appendError('unknown'));
        } else if (active('answers_lost')) {
          land();
          answerAt(giveUpAt, appendError('unknown'));
        } else {
          answerAt(time.now() + delay(), result.ok({offset: land()}));
        }
      });
    });
  }

  /** Sends a call to an address; whoever listens there answers. */
  function call<Reply>(
    from: Entry,
    peer: claimPeers.NamedPeer,
    answer: (keeper: claimKeeper.ClaimKeeper) => Reply,
  ): Promise<Reply | claimPeers.NoReply> {
    return new Promise((resolve) => {
      const machine = Number(peer.address);
      const reply = (value: Reply | claimPeers.NoReply) => {
        if (!reaches(from.machine, machine)) return;
        from.process.deliverAt(time.now() + delay(), () => resolve(value));
      };
      from.process.deliverAt(time.now() + CALL_TIMEOUT_MS, () =>
        resolve({type: 'silent'}),
      );
      time.at(time.now() + delay(), () => {
        if (!reaches(from.machine, machine) || lost.has(machine)) return;
        const target = entries.get(machine);
        if (target?.process.isAlive() !== true) {
          reply({type: 'gone'});
          return;
        }
        target.process.deliverAt(time.now(), () => {
          const value = answer(target.keeper);
          reply(target.entryId === peer.entryId ? value : {type: 'gone'});
        });
      });
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
          reaches(entry.machine, machine);
        return {
          entryId: peer?.entryId ?? types.ids.brand<types.ids.EntryId>(''),
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
    if (!active(`cut_from_list ${entry.machine}`)) {
      const asOf = time.now() - random.integer(0, LIST_LAG_MS / 2);
      const listed = [...entries.keys()].filter(
        (machine) => asOf < (offListAt.get(machine) ?? Infinity),
      );
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
    entry.caughtUp = reachesLog(entry.machine);
    if (entry.caughtUp) {
      const from = entry.nextOffset;
      const page = log.slice(from);
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
      const startBy = worker.clock.monotonic() + leftMs;
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
    if (epoch < workerEpoch || worker.clock.monotonic() > startBy) return;
    workerEpoch = epoch;
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

  function check() {
    const now = holding();
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
      appendRecord: (record) => append(entry, record),
      caughtUp: () => entry.caughtUp,
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
      caughtUp: false,
    };
    entries.set(machine, entry);
    offListAt.delete(machine);
    lost.delete(machine);
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
    offListAt.set(machine, time.now() + random.integer(0, LIST_LAG_MS / 2));
  }

  function cutFromList(machine: number, forMs: number) {
    extendFault(`cut_from_list ${machine}`, forMs);
    // The platform may take a cut-off instance for a dead one.
    const droppedAt = time.now() + random.integer(0, LIST_LAG_MS / 2);
    offListAt.set(
      machine,
      Math.min(offListAt.get(machine) ?? Infinity, droppedAt),
    );
    time.at(time.now() + forMs, () => {
      if (entries.get(machine)?.process.isAlive() === true) {
        if (!active(`cut_from_list ${machine}`)) offListAt.delete(machine);
      }
    });
  }

  function extendFault(name: string, forMs: number) {
    const end = Math.max(until.get(name) ?? 0, time.now() + forMs);
    until.set(name, end);
  }

  function inject(fault: Fault) {
    switch (fault.type) {
      case 'pause':
        entries
          .get(fault.machine)
          ?.process.pauseUntil(time.now() + fault.forMs);
        break;
      case 'log_down':
      case 'answers_lost':
      case 'appends_late':
        extendFault(fault.type, fault.forMs);
        break;
      case 'cut_from_log':
        extendFault(`cut_from_log ${fault.machine}`, fault.forMs);
        break;
      case 'cut_from_list':
        cutFromList(fault.machine, fault.forMs);
        break;
      case 'cut_between':
        extendFault(`cut_between ${fault.machine} ${fault.other}`, fault.forMs);
        extendFault(`cut_between ${fault.other} ${fault.machine}`, fault.forMs);
        break;
      case 'kill':
        end(fault.machine);
        break;
      case 'lose_machine':
        end(fault.machine);
        lost.add(fault.machine);
        break;
      case 'restart':
        end(fault.machine);
        spawn(fault.machine);
        break;
      case 'release': {
        // A start still on its way could reach its worker after the next
        // entry has claimed, so all are answered first.
        const entry = entries.get(fault.machine);
        if (entry !== undefined) entry.releasing = true;
        break;
      }
    }
  }

  for (let machine = 0; machine < machines; machine++) spawn(machine);
  return {
    inject,
    counts,
    now: () => time.now(),
    holders: () => holding().map((entry) => entry.machine),
    violations: () => found,
    run: (forMs) => time.advanceTo(time.now() + forMs, check),
    stop: async () => {
      for (const entry of entries.values()) entry.stop.abort();
      await time.advanceTo(time.now() + 10 * TTL_MS, () => undefined);
    },
  };
}

function appendError(effect: types.stepError.Effect): AppendAnswer {
  return result.err({
    kind: 'unreachable',
    step: 'log.append',
    peer: 'log',
    effect,
    message: 'the log is out of reach',
  });
}
