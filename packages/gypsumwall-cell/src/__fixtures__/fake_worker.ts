/**
 * A worker in memory: fencing, leases on a clock of its own, runs that end
 * when they are told to, ends that are repeated until they are acknowledged.
 */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as ports from '../ports.js';

/** One run, as it was on the worker. */
export interface FakeRun {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly token: number;
}

/** A worker that can be cut off. */
export interface FakeWorker {
  readonly info: scheduling.workerRegistry.WorkerInfo;
  /** Connections; each holder has its own. */
  connect(): ports.WorkerLink;
  /** No call gets through or is answered. */
  cut: boolean;
  /** Another stay answers at its address. */
  replaced: boolean;
  /** Orders are carried out, and not answered. */
  mute: boolean;
  /** So many looks that wait for an end are lost. */
  looksToLose: number;
  /** How long a stop takes; milliseconds. */
  stopMs: number;
  readonly running: Map<string, FakeRun>;
  /** Every start that was carried out. */
  readonly started: FakeRun[];
  end(taskId: string, how: scheduling.jobSteps.AttemptOutcome): void;
}

/** Creates a worker with room for so many cores. */
export function createFakeWorker(
  name: string,
  cores: number,
  address = `${name}:1`,
): FakeWorker {
  const startedAt = performance.now();
  const running = new Map<string, FakeRun>();
  const started: FakeRun[] = [];
  let ends: scheduling.schedulerTypes.AttemptEnd[] = [];
  let sequence = 0;
  let highestToken = 0;
  let leaseUntil = 0;
  let wakeLooks: (() => void)[] = [];
  const clockMs = () => performance.now() - startedAt + 5_000;

  function lost<Value>(): Awaited<ports.Answer<Value>> {
    return result.err({
      kind: 'timeout',
      step: 'call',
      peer: name,
      effect: 'unknown',
      message: 'as told',
    });
  }

  async function unanswered<Value>(
    timeoutMs: number,
  ): Promise<Awaited<ports.Answer<Value>>> {
    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
    return lost();
  }

  function fenced(token: number): boolean {
    if (token < highestToken) return true;
    highestToken = token;
    return false;
  }

  function endRun(key: string, how: scheduling.jobSteps.AttemptOutcome): void {
    const run = running.get(key);
    if (run === undefined) return;
    running.delete(key);
    const {taskId, attempt} = run;
    ends.push({sequence: ++sequence, taskId, attempt, how, checkpoint: ''});
    const woken = wakeLooks;
    wakeLooks = [];
    for (const wake of woken) wake();
  }

  function stopRun(key: string): void {
    if (worker.stopMs === 0) {
      endRun(key, 'stopped');
      return;
    }
    setTimeout(() => endRun(key, 'stopped'), worker.stopMs).unref();
  }

  function expire(): void {
    if (leaseUntil === 0 || clockMs() < leaseUntil) return;
    for (const key of [...running.keys()]) endRun(key, 'lapsed');
  }

  function start(call: ports.StartCall): ports.OrderAnswer {
    if (fenced(call.token)) return {type: 'fenced'};
    leaseUntil = Math.max(leaseUntil, call.leaseUntil);
    const {taskId, attempt, token} = call;
    const run = {taskId, attempt, token};
    if (!running.has(taskId)) started.push(run);
    running.set(taskId, run);
    return {type: 'accepted', clockMs: clockMs()};
  }

  const worker: FakeWorker = {
    info: {
      id: types.ids.brand(name),
      address,
      domain: types.ids.brand('d1'),
      pool: 'pool',
      capacity: {
        cpuMillis: cores * 1_000,
        memoryMb: 100_000,
        accelerators: 0,
      },
      labels: [],
      rack: types.ids.brand('r1'),
      draining: false,
    },
    cut: false,
    replaced: false,
    mute: false,
    looksToLose: 0,
    stopMs: 0,
    running,
    started,
    end: endRun,
    connect: () => ({
      async start(call) {
        await Promise.resolve();
        if (worker.replaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(call.timeoutMs);
        const answer = start(call);
        return worker.mute ? unanswered(call.timeoutMs) : result.ok(answer);
      },
      async stop(call) {
        await Promise.resolve();
        if (worker.replaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(call.timeoutMs);
        if (fenced(call.token)) return result.ok({type: 'fenced'});
        const run = running.get(call.taskId);
        if (run?.attempt === call.attempt) stopRun(call.taskId);
        return result.ok({type: 'accepted', clockMs: clockMs()});
      },
      async poll(call) {
        await Promise.resolve();
        if (worker.replaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(Math.min(call.timeoutMs, 60));
        if (call.waitMs > 0 && worker.looksToLose > 0) {
          worker.looksToLose--;
          return unanswered(call.timeoutMs);
        }
        if (fenced(call.token)) return result.ok({type: 'fenced'});
        ends = ends.filter((end) => end.sequence > call.acknowledged);
        if (ends.length === 0 && call.waitMs > 0) await nextEnd(call.waitMs);
        if (call.leaseUntil !== undefined) {
          leaseUntil = Math.max(leaseUntil, call.leaseUntil);
        }
        expire();
        return result.ok({
          type: 'report',
          clockMs: clockMs(),
          running: [...running.values()].map(({taskId, attempt}) => ({
            taskId,
            attempt,
            checkpoint: '',
            percent: Math.floor(clockMs() / 100) % 100,
          })),
          ends: [...ends],
          hasMoreEnds: false,
        });
      },
      close() {},
    }),
  };

  function nextEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, 50));
      wakeLooks.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  return worker;
}
