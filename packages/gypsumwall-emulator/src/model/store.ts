/**
 * The platform's store: its logs, with the latency of calls, rate limits and
 * injected faults.
 */
import * as types from '@gypsumwall/types';
import * as keyedLog from './keyed_log.js';
import * as rateLimit from './rate_limit.js';
import * as storeFaults from './store_faults.js';

/** Topics of the logs that only the platform itself writes. */
export const OPERATOR_TOPIC = 'operator';
export const WORKERS_TOPIC = 'workers';

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
  ): Promise<storeFaults.Delivery<keyedLog.AppendOutcome>>;
  read(
    caller: string,
    call: ReadCall,
  ): Promise<storeFaults.Delivery<keyedLog.ReadOutcome>>;
  readNewest(
    caller: string,
    topic: string,
    after: string,
  ): Promise<storeFaults.Delivery<keyedLog.NewestPage>>;
  /** Returns a log for direct access, without latency, limits or faults. */
  log(topic: string): keyedLog.KeyedLog;
  /**
   * Sets the fault of one caller, or of all callers that have none of their
   * own if `caller` is `all`.
   */
  setFault(caller: string, fault: storeFaults.StoreFault): void;
  /** Makes every append take `factor` times as long as configured. */
  setSlowdown(factor: number): void;
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
  /** Called after each append that was carried out, answered or not. */
  readonly onAppend?: AppendObserver | undefined;
}

/** Observes the appends that reach a log. */
export type AppendObserver = (
  caller: string,
  call: AppendCall,
  outcome: keyedLog.AppendOutcome,
) => void;

/** A log with more than this waiting refuses appends. */
const MAX_QUEUE_MS = 2_000;
const ALL_CALLERS = 'all';
const NO_FAULT: storeFaults.StoreFault = {type: 'none'};

/** Creates an empty store. */
export function createStore(options: StoreOptions): Store {
  const {clock, random} = options;
  const logs = new Map<string, keyedLog.KeyedLog>();
  const faults = new Map<string, storeFaults.StoreFault>();
  const busyUntil = new Map<string, types.clock.MonotonicMs>();
  const writes = rateLimit.createRateLimit(clock, options.writesPerS);
  const reads = rateLimit.createRateLimit(clock, options.readsPerS);
  const counts = {reads: 0, writes: 0};
  let slowdown = 1;

  function log(topic: string): keyedLog.KeyedLog {
    const existing = logs.get(topic);
    if (existing !== undefined) return existing;
    const created = keyedLog.createKeyedLog({clock, keepMs: options.keepMs});
    logs.set(topic, created);
    return created;
  }

  const findFault = (caller: string): storeFaults.StoreFault =>
    faults.get(caller) ?? faults.get(ALL_CALLERS) ?? NO_FAULT;

  /** Returns undefined if the call may proceed, otherwise how it ends. */
  async function checkAdmission(
    caller: string,
    limit: rateLimit.RateLimit,
  ): Promise<
    Exclude<storeFaults.Delivery<never>, {type: 'answer'}> | undefined
  > {
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
      case 'resetting':
      case 'failing':
        break;
    }
    return limit.tryAcquire() ? undefined : {type: 'throttled'};
  }

  const deliver = <Value>(
    caller: string,
    carryOut: () => Value,
  ): Promise<storeFaults.Delivery<Value>> =>
    storeFaults.deliver(clock, random, findFault(caller), carryOut);

  /** Waits for earlier appends of the log; returns false if the queue is full. */
  async function waitForTurn(topic: string): Promise<boolean> {
    const now = clock.monotonic();
    const start = Math.max(now, busyUntil.get(topic) ?? now);
    if (start - now > MAX_QUEUE_MS) return false;
    const end = types.clock.after(
      start as types.clock.MonotonicMs,
      options.appendMs * slowdown,
    );
    busyUntil.set(topic, end);
    await clock.sleepUntil(end);
    return true;
  }

  function appendNow(caller: string, call: AppendCall): keyedLog.AppendOutcome {
    const {shouldDrop} = options;
    const keptEntries = call.entries.filter(
      (entry) => shouldDrop?.(call.topic, entry) !== true,
    );
    const outcome = log(call.topic).append(keptEntries, call);
    options.onAppend?.(caller, call, outcome);
    return outcome;
  }

  return {
    log,
    callCounts: () => ({...counts}),
    setSlowdown: (factor) => void (slowdown = factor),
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
      return deliver(caller, () => appendNow(caller, call));
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
