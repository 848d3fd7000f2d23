/** One decider of a virtual cell: a scheduler and the process that runs it. */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as adviserLines from './adviser_lines.js';
import type * as runEnds from './run_ends.js';
import type * as virtualProcess from './virtual_process.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** Time of an append; milliseconds. */
const STORE_MS = 16;
/** What a worker takes to stop a task; milliseconds. */
const STOP_MS = 150;
/** Pauses before a cycle, as the holder makes them. */
const CYCLE_GAP_MS = 3;
const CYCLE_GAP_FACTOR = 4;

/** A job as a decider takes it up. */
export type JobStart = Omit<
  scheduling.jobSteps.JobStart,
  'arrival' | 'inherited'
>;

/** What a decider is made of. */
export interface DeciderParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly process: virtualProcess.VirtualProcess;
  /** Entries whose calls to the adviser it may use. */
  readonly entries: readonly string[];
  readonly attemptBase: number;
  readonly drawEnd: runEnds.DrawEnd;
  readonly adviser: adviserLines.Adviser;
  readonly callsFor: (worker: types.ids.WorkerId) => workerCalls.WorkerCalls;
  /** Has starts sent; absent: they are sent as they are decided. */
  readonly launch?: (
    starts: readonly scheduling.schedulerTypes.StartOrder[],
  ) => void;
  /** Starts are sent. */
  readonly onStarts: (
    starts: readonly scheduling.schedulerTypes.StartOrder[],
  ) => void;
  readonly onRunOver?: (run: scheduling.activeJob.Attempt) => void;
  readonly onJobOver: (job: types.ids.JobId) => void;
}

/** One decider. */
export interface VirtualDecider {
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly process: virtualProcess.VirtualProcess;
  /** Jobs that the adviser was asked about. */
  readonly jobs: ReadonlyMap<types.ids.JobId, scheduling.activeJob.ActiveJob>;
  accept(start: JobStart): void;
  /** Gives a job away; nothing of it may run. */
  giveAway(job: scheduling.activeJob.ActiveJob): JobStart;
  /** Sends starts to workers. */
  send(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  /** Starts that surely never run. */
  refuse(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  requestCycle(): void;
  adviserCalls(): number;
}

/** Creates a decider without jobs or workers. */
export function createVirtualDecider(parts: DeciderParts): VirtualDecider {
  const {timeline, process} = parts;
  const launch = parts.launch ?? send;
  const jobs = new Map<types.ids.JobId, scheduling.activeJob.ActiveJob>();
  const leaving = new Set<types.ids.JobId>();
  const running = new Map<
    types.ids.WorkerId,
    Set<scheduling.activeJob.Attempt>
  >();
  const sequences = new Map<types.ids.WorkerId, number>();
  let planned = false;
  let gapMs = CYCLE_GAP_MS;

  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: parts.attemptBase,
    isReconciled: () => true,
    onEvent(event) {
      if (event.type !== 'job_over') return;
      jobs.delete(event.job);
      if (!leaving.delete(event.job)) parts.onJobOver(event.job);
    },
  });
  const lines = adviserLines.createAdviserLines({
    ...parts,
    scheduler,
    onAnswer: requestCycle,
  });
  const wall = () => timeline.now() as unknown as types.clock.WallMs;

  function requestCycle(): void {
    if (planned) return;
    planned = true;
    timeline.later(gapMs, () => process.handle(0, cycle));
  }

  function cycle(): void {
    planned = false;
    let decisions: scheduling.schedulerTypes.Decisions = {
      starts: [],
      advice: [],
    };
    const tookMs = process.measure(() => {
      const capacity = lines.capacity();
      decisions = scheduler.decide(timeline.now(), wall(), capacity);
    });
    gapMs = Math.max(CYCLE_GAP_MS, tookMs * CYCLE_GAP_FACTOR);
    store();
    if (decisions.starts.length > 0) launch(decisions.starts);
    for (const wish of decisions.advice) {
      const {job} = wish.stepRun;
      jobs.set(job.id, job);
      lines.ask(wish);
    }
  }

  function store(): void {
    const dirty = scheduler.takeDirty();
    if (dirty.length === 0) return;
    process.handle(workerCalls.CALL_MS, () => {
      timeline.later(STORE_MS, () => {
        process.handle(0, () => {
          process.measure(() => scheduler.onStored(dirty));
          requestCycle();
        });
      });
    });
  }

  function send(starts: readonly scheduling.schedulerTypes.StartOrder[]): void {
    parts.onStarts(starts);
    const batches = new Map<workerCalls.WorkerCalls, workerCalls.Order[]>();
    for (const {attempt: run} of starts) {
      const calls = parts.callsFor(run.workerId);
      const batch = batches.get(calls) ?? [];
      batches.set(calls, batch);
      batch.push({
        workerId: run.workerId,
        arrive: () => begin(run),
        answer: () => answer(run),
      });
    }
    for (const [calls, batch] of batches) calls.send(batch);
  }

  function answer(run: scheduling.activeJob.Attempt): void {
    process.measure(() =>
      scheduler.onStartAnswered(run, {type: 'started'}, timeline.now()),
    );
  }

  function begin(run: scheduling.activeJob.Attempt): void {
    const runs = running.get(run.workerId) ?? new Set();
    running.set(run.workerId, runs.add(run));
    const {spanMs, how} = parts.drawEnd(run);
    timeline.later(spanMs, () => end(run, how));
  }

  function end(
    run: scheduling.activeJob.Attempt,
    how: scheduling.jobSteps.AttemptOutcome,
  ): void {
    const {taskId, number: attempt, workerId} = run;
    const runs = running.get(workerId);
    if (runs?.delete(run) !== true) return;
    parts.onRunOver?.(run);
    const sequence = (sequences.get(workerId) ?? 0) + 1;
    sequences.set(workerId, sequence);
    const report: scheduling.schedulerTypes.WorkerReport = {
      workerId,
      askedAt: timeline.now(),
      running: [...runs].map((one) => ({
        taskId: one.taskId,
        attempt: one.number,
        checkpoint: '',
        percent: parts.drawEnd.percent(),
      })),
      ends: [{sequence, taskId, attempt, how, checkpoint: ''}],
      complete: true,
    };
    parts.callsFor(workerId).bring(workerId, () => take(report));
  }

  function take(report: scheduling.schedulerTypes.WorkerReport): void {
    process.measure(() => scheduler.applyReport(report, timeline.now()));
    for (const run of scheduler.takeStops()) stop(run);
    store();
    requestCycle();
  }

  function stop(run: scheduling.activeJob.Attempt): void {
    const {workerId} = run;
    const arrive = () => timeline.later(STOP_MS, () => end(run, 'stopped'));
    const answered = () => scheduler.onStopAnswered(run, timeline.now());
    parts.callsFor(workerId).send([{workerId, arrive, answer: answered}]);
  }

  return {
    scheduler,
    process,
    jobs,
    accept(start) {
      process.handle(workerCalls.CALL_MS, () => {
        process.measure(() =>
          scheduler.addJob(
            {...start, inherited: false},
            timeline.now(),
            wall(),
          ),
        );
        requestCycle();
      });
    },
    giveAway(job) {
      const {id, request, policy, acceptedAt} = job;
      const progress = scheduling.activeJob.progressOf(job);
      leaving.add(id);
      scheduler.cancelJob(id);
      return {
        id,
        request,
        policy,
        acceptedAt,
        progress: {...progress, workers: []},
      };
    },
    send,
    refuse(starts) {
      for (const {attempt: run} of starts) {
        const outcome = {type: 'refused', reason: 'superseded'} as const;
        scheduler.onStartAnswered(run, outcome, timeline.now());
      }
      requestCycle();
    },
    requestCycle,
    adviserCalls: () => lines.calls(),
  };
}
