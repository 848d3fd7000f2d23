/**
 * The platform's store: its logs, with the latency of calls, rate limits and
 * injected faults.
 */
import * as types from '@gypsumwall/types';
import * as keyedLog from './keyed_log.js';
import * as rateLimit from './rate_limit.js';

/** Topics of the logs that only the platform itself writes. */
export const OPERATOR_TOPIC = 'operator';
export const WORKERS_TOPIC = 'workers';

/** A fault that affects the calls of a caller. */
export type StoreFault =
  | {readonly type: 'none'}
  /** Calls are refused and have no effect. */
  | {readonly type: 'unavailable'}
  | {readonly type: 'throttled'}
  /** Calls have no effect and get no answer. */
  | {readonly type: 'silent'}
  | {readonly type: 'slow'; readonly addedMs: number}
  | {
      readonly type: 'lossy';
      /** Share of calls that are carried out but not answered. */
      readonly lostShare: number;
      /** Share of calls that are carried out later and not answered. */
      readonly lateShare: number;
      readonly maxDelayMs: number;
    };

/** How a call ends for its caller. */
export type Delivery<Value> =
  | {readonly type: 'answer'; readonly value: Value}
  | {readonly type: 'unavailable'}
  | {readonly type: 'throttled'}
  /** Only the platform may write to the log. */
  | {readonly type: 'forbidden'}
  /** The call never gets an answer. */
  | {readonly type: 'lost'};

/** An append by the system. */
export interface AppendCall extends keyedLog.AppendConditions {
  readonly topic: string;
  readonly entries: readonly keyedLog.KeyedEntry[];
}

/** A read by the system. */
export interface ReadCall {
  readonly topic: string;
  readonly from: number;
  readonly maxBytes: number;
  readonly waitMs: number;
}

/** The store; `caller` is the name of the calling machine. */
export interface Store {
  append(
    caller: string,
    call: AppendCall,
  ): Promise<Delivery<keyedLog.AppendOutcome>>;
  read(caller: string, call: ReadCall): Promise<Delivery<keyedLog.ReadOutcome>>;
  readNewest(
    caller: string,
    topic: string,
    after: string,
  ): Promise<Delivery<keyedLog.NewestPage>>;
  /** Returns a log for direct access, without latency, limits or faults. */
  log(topic: string): keyedLog.KeyedLog;
  /**
   * Sets the fault of one caller, or of all callers that have none of their
   * own if `caller` is `all`.
   */
  setFault(caller: string, fault: StoreFault): void;
  /** Compacts every log. */
  compactLogs(): void;
  /** Returns the number of calls by kind, including refused ones. */
  callCounts(): {readonly reads: number; readonly writes: number};
}

/** Options of {@link createStore}. */
export interface StoreOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly writesPerS: number;
  readonly readsPerS: number;
  /** Duration of one append; a log handles appends one at a time. */
  readonly appendMs: number;
  readonly keepMs: number;
  /**
   * Injected fault for tests of the judge: acknowledges such records without
   * keeping them.
   */
  readonly shouldDrop?: (topic: string, entry: keyedLog.KeyedEntry) => boolean;
}

/** A log with more than this waiting refuses appends. */
const MAX_QUEUE_MS = 2_000;
const ALL_CALLERS = 'all';
const NO_FAULT: StoreFault = {type: 'none'};

/** Creates an empty store. */
export function createStore(options: StoreOptions): Store {
  const {clock, random} = options;
  const logs = new Map<string, keyedLog.KeyedLog>();
  const faults = new Map<string, StoreFault>();
  const busyUntil = new Map<string, types.clock.MonotonicMs>();
  const writes = rateLimit.createRateLimit(clock, options.writesPerS);
  const reads = rateLimit.createRateLimit(clock, options.readsPerS);
  const counts = {reads: 0, writes: 0};

  function log(topic: string): keyedLog.KeyedLog {
    const existing = logs.get(topic);
    if (existing !== undefined) return existing;
    const created = keyedLog.createKeyedLog({clock, keepMs: options.keepMs});
    logs.set(topic, created);
    return created;
  }

  const findFault = (caller: string): StoreFault =>
    faults.get(caller) ?? faults.get(ALL_CALLERS) ?? NO_FAULT;

  /** Returns undefined if the call may proceed, otherwise how it ends. */
  async function checkAdmission(
    caller: string,
    limit: rateLimit.RateLimit,
  ): Promise<Exclude<Delivery<never>, {type: 'answer'}> | undefined> {
    const fault = findFault(caller);
    switch (fault.type) {
      case 'unavailable':
      case 'throttled':
        return {type: fault.type};
      case 'silent':
        return {type: 'lost'};
      case 'slow':
        await types.clock.sleepFor(clock, fault.addedMs);
        break;
      case 'none':
      case 'lossy':
        break;
    }
    return limit.tryAcquire() ? undefined : {type: 'throttled'};
  }

  /** Carries the call out; a lossy fault can delay it or lose its answer. */
  async function deliver<Value>(
    caller: string,
    carryOut: () => Value,
  ): Promise<Delivery<Value>> {
    const fault = findFault(caller);
    if (fault.type !== 'lossy') return {type: 'answer', value: carryOut()};
    const randomShare = random.next();
    if (randomShare < fault.lateShare) {
      await types.clock.sleepFor(clock, random.integer(0, fault.maxDelayMs));
      carryOut();
      return {type: 'lost'};
    }
    const value = carryOut();
    return randomShare < fault.lateShare + fault.lostShare
      ? {type: 'lost'}
      : {type: 'answer', value};
  }

  /** Waits for earlier appends of the log; returns false if the queue is full. */
  async function waitForTurn(topic: string): Promise<boolean> {
    const now = clock.monotonic();
    const start = Math.max(now, busyUntil.get(topic) ?? now);
    if (start - now > MAX_QUEUE_MS) return false;
    const end = types.clock.after(
      start as types.clock.MonotonicMs,
      options.appendMs,
    );
    busyUntil.set(topic, end);
    await clock.sleepUntil(end);
    return true;
  }

  function appendNow(call: AppendCall): keyedLog.AppendOutcome {
    const {shouldDrop} = options;
    const keptEntries = call.entries.filter(
      (entry) => shouldDrop?.(call.topic, entry) !== true,
    );
    return log(call.topic).append(keptEntries, call);
  }

  return {
    log,
    callCounts: () => ({...counts}),
    setFault: (caller, fault) => void faults.set(caller, fault),
    compactLogs() {
      for (const each of logs.values()) each.compact();
    },
    async append(caller, call) {
      counts.writes += 1;
      const refusal = await checkAdmission(caller, writes);
      if (refusal !== undefined) return refusal;
      if (call.topic === OPERATOR_TOPIC || call.topic === WORKERS_TOPIC) {
        return {type: 'forbidden'};
      }
      if (!(await waitForTurn(call.topic))) return {type: 'unavailable'};
      return deliver(caller, () => appendNow(call));
    },
    async read(caller, {topic, from, maxBytes, waitMs}) {
      counts.reads += 1;
      const refusal = await checkAdmission(caller, reads);
      if (refusal !== undefined) return refusal;
      const deadline = types.clock.after(clock.monotonic(), waitMs);
      await log(topic).waitPastOffset(from, deadline);
      return deliver(caller, () => log(topic).read(from, maxBytes));
    },
    async readNewest(caller, topic, after) {
      counts.reads += 1;
      const refusal = await checkAdmission(caller, reads);
      if (refusal !== undefined) return refusal;
      return deliver(caller, () => log(topic).readNewest(after));
    },
  };
}
