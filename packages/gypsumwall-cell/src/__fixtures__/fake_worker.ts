/**
 * An in-memory worker: fencing, leases on a clock of its own, attempts that end
 * on request, and ended attempts that are reported until they are acknowledged.
 */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as ports from '../ports.js';
import type * as slowUplink from './slow_uplink.js';

/** One attempt on the worker. */
export interface FakeAttempt {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly token: number;
}

/** A worker that can be cut off. */
export interface FakeWorker {
  /** As its incarnation would list itself now. */
  info: scheduling.workerRegistry.WorkerInfo;
  /** Opens a connection; each holder has its own. */
  connect(): ports.WorkerLink;
  /** Whether calls are neither delivered nor answered. */
  cut: boolean;
  /** Whether another incarnation answers at its address. */
  isReplaced: boolean;
  /** Whether orders take effect without being answered. */
  losesAnswers: boolean;
  /** Number of waiting polls that will be lost. */
  pollsToLose: number;
  /** Duration of a stop; milliseconds. */
  stopMs: number;
  /** The link of the holder, which start orders pass, if it is slow. */
  uplink: slowUplink.SlowUplink | undefined;
  readonly running: Map<string, FakeAttempt>;
  /** Every start that took effect. */
  readonly started: FakeAttempt[];
  /** Reading of the worker's own clock. */
  clockMs(): number;
  end(taskId: string, how: scheduling.jobSteps.AttemptOutcome): void;
  /**
   * Starts again under its id: it runs and knows nothing of before, its counts
   * start anew, and calls in progress are lost.
   */
  restart(bornMs: number): void;
}

/** Creates a worker with the given number of cores. */
export function createFakeWorker(
  name: string,
  cores: number,
  address = `${name}:1`,
): FakeWorker {
  let startedAt = performance.now();
  const running = new Map<string, FakeAttempt>();
  const started: FakeAttempt[] = [];
  let ends: scheduling.schedulerTypes.AttemptEnd[] = [];
  let sequence = 0;
  let highestToken = 0;
  let leaseUntil = 0;
  let resumePolls: (() => void)[] = [];
  const clockMs = () => performance.now() - startedAt + 5_000;

  function lost<Value>(): Awaited<ports.Answer<Value>> {
    return result.err({
      kind: 'timeout',
      step: 'call',
      peer: name,
      effect: 'unknown',
      message: 'injected fault',
    });
  }

  async function unanswered<Value>(
    timeoutMs: number,
  ): Promise<Awaited<ports.Answer<Value>>> {
    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
    return lost();
  }

  function isFenced(token: number): boolean {
    if (token < highestToken) return true;
    highestToken = token;
    return false;
  }

  function endAttempt(
    key: string,
    how: scheduling.jobSteps.AttemptOutcome,
  ): void {
    const ended = running.get(key);
    if (ended === undefined) return;
    running.delete(key);
    const {taskId, attempt} = ended;
    ends.push({sequence: ++sequence, taskId, attempt, how, checkpoint: ''});
    const resumed = resumePolls;
    resumePolls = [];
    for (const resume of resumed) resume();
  }

  function stopAttempt(key: string): void {
    if (worker.stopMs === 0) {
      endAttempt(key, 'stopped');
      return;
    }
    setTimeout(() => endAttempt(key, 'stopped'), worker.stopMs).unref();
  }

  function expire(): void {
    if (leaseUntil === 0 || clockMs() < leaseUntil) return;
    for (const key of [...running.keys()]) endAttempt(key, 'lapsed');
  }

  function start(call: ports.StartCall): ports.OrderAnswer {
    if (isFenced(call.token)) return {type: 'fenced'};
    leaseUntil = Math.max(leaseUntil, call.leaseUntil);
    const {taskId, attempt, token} = call;
    const attempted = {taskId, attempt, token};
    if (!running.has(taskId)) started.push(attempted);
    running.set(taskId, attempted);
    return {type: 'accepted', clockMs: clockMs(), bornMs: worker.info.bornMs};
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
    isReplaced: false,
    losesAnswers: false,
    pollsToLose: 0,
    stopMs: 0,
    uplink: undefined,
    running,
    started,
    clockMs,
    end: endAttempt,
    restart(bornMs) {
      worker.info = {...worker.info, bornMs, draining: false};
      startedAt = performance.now();
      running.clear();
      ends = [];
      sequence = 0;
      highestToken = 0;
      leaseUntil = 0;
      const resumed = resumePolls;
      resumePolls = [];
      for (const resume of resumed) resume();
    },
    connect: () => ({
      async start(call) {
        await Promise.resolve();
        if (worker.isReplaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(call.timeoutMs);
        if ((await worker.uplink?.transfer(call.timeoutMs)) === false)
          return lost();
        const answer = start(call);
        return worker.losesAnswers
          ? unanswered(call.timeoutMs)
          : result.ok(answer);
      },
      async stop(call) {
        await Promise.resolve();
        if (worker.isReplaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(call.timeoutMs);
        if (isFenced(call.token)) return result.ok({type: 'fenced'});
        const current = running.get(call.taskId);
        if (current?.attempt === call.attempt) stopAttempt(call.taskId);
        return result.ok({type: 'accepted', clockMs: clockMs()});
      },
      async poll(call) {
        await Promise.resolve();
        const {bornMs} = worker.info;
        if (worker.isReplaced) return result.ok({type: 'gone'});
        if (worker.cut) return unanswered(Math.min(call.timeoutMs, 60));
        if (call.waitMs > 0 && worker.pollsToLose > 0) {
          worker.pollsToLose--;
          return unanswered(call.timeoutMs);
        }
        if (isFenced(call.token)) return result.ok({type: 'fenced'});
        ends = ends.filter((end) => end.sequence > call.acknowledged);
        if (ends.length === 0 && call.waitMs > 0) await nextEnd(call.waitMs);
        if (worker.cut) return unanswered(Math.min(call.timeoutMs, 60));
        if (worker.info.bornMs !== bornMs) return lost();
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
          bornMs,
        });
      },
      close() {},
    }),
  };

  function nextEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, 50));
      resumePolls.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  return worker;
}
