/** A scheduler with workers that a test controls, on a simulated clock. */
import * as types from '@gypsumwall/types';
import type * as activeJob from '../active_job.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';
import type * as jobSteps from '../job_steps.js';
import type * as nearChoice from '../near_choice.js';
import * as schedulers from '../scheduler.js';
import type * as schedulerTypes from '../scheduler_types.js';

/** Creates a step request of one small task, with the given fields replaced. */
export function step(
  fields: Partial<jobRequest.StepRequest> = {},
): jobRequest.StepRequest {
  return {
    taskCount: 1,
    size: {cpuMillis: 1_000, memoryMb: 100, accelerators: 0},
    expectedMs: 1_000,
    after: [],
    savesProgress: false,
    gang: false,
    sameRack: false,
    speculative: false,
    longRunning: false,
    usesSpareCpu: false,
    ...fields,
  };
}

/** A queue policy without an adviser. */
export const POLICY: jobRequest.QueuePolicy = {
  queue: 'plans',
  pool: 'pool',
  priority: 1,
  maxFailures: 3,
  slackFactor: 2,
  targetMs: 1_000,
};

/** Options for submitting a job. */
export interface Submission {
  readonly organisation?: string;
  readonly policy?: Partial<jobRequest.QueuePolicy>;
  readonly progress?: jobProgress.JobProgress;
  readonly inherited?: boolean;
  /** Absolute times are relative to the world's wall clock, which stays at 0. */
  readonly schedule?: jobRequest.Schedule;
}

/** A scheduler with its workers, store and clock. */
export interface SchedulerWorld {
  readonly scheduler: schedulerTypes.Scheduler;
  readonly events: schedulerTypes.SchedulerEvent[];
  /** Workers of an earlier scheduler that are not reconciled yet. */
  readonly unreconciled: Set<types.ids.WorkerId>;
  now: types.clock.MonotonicMs;
  addWorker(name: string, cores: number, rack?: string): types.ids.WorkerId;
  submit(
    name: string,
    steps: jobRequest.StepRequest[],
    submission?: Submission,
  ): types.ids.JobId;
  /**
   * Runs two scheduling cycles with a commit of the store in between; starts
   * are not answered.
   */
  decide(): schedulerTypes.StartOrder[];
  /** Runs scheduling cycles and answers every start. */
  startAll(): activeJob.Attempt[];
  end(attempt: activeJob.Attempt, how: jobSteps.AttemptOutcome): void;
  /** Delivers a report that lists exactly these attempts. */
  report(
    worker: types.ids.WorkerId,
    rows: schedulerTypes.RunningAttempt[],
  ): void;
}

/** Creates a world with the clock at 1,000,000 ms. */
export function createSchedulerWorld(
  near: nearChoice.NearOptions = {},
  canStoreRanges?: () => boolean,
): SchedulerWorld {
  const events: schedulerTypes.SchedulerEvent[] = [];
  const unreconciled = new Set<types.ids.WorkerId>();
  const scheduler = schedulers.createScheduler({
    ...near,
    canStoreRanges,
    attemptBase: 0,
    isReconciled: (worker) => !unreconciled.has(worker),
    onEvent: (event) => events.push(event),
  });
  const wall = 0 as types.clock.WallMs;
  let sequence = 0;

  function confirmWrites(): void {
    scheduler.onStored(scheduler.takeDirty());
  }

  const world: SchedulerWorld = {
    scheduler,
    events,
    unreconciled,
    now: 1_000_000 as types.clock.MonotonicMs,
    addWorker(name, cores, rack = 'r1') {
      const id = types.ids.brand<types.ids.WorkerId>(name);
      scheduler.putWorker({
        id,
        address: `${name}:1`,
        domain: types.ids.brand('d1'),
        pool: POLICY.pool,
        capacity: {
          cpuMillis: cores * 1_000,
          memoryMb: 100_000,
          accelerators: 0,
        },
        labels: [],
        rack: types.ids.brand(rack),
        draining: false,
      });
      scheduler.setUsable(id, true, world.now);
      return id;
    },
    submit(name, steps, submission = {}) {
      const id = types.ids.brand<types.ids.JobId>(name);
      scheduler.addJob(
        {
          id,
          organisation:
            submission.organisation === undefined
              ? undefined
              : types.ids.brand<types.ids.OrganisationId>(
                  submission.organisation,
                ),
          request: {payload: name, steps, schedule: submission.schedule},
          policy: {...POLICY, ...submission.policy},
          acceptedAt: world.now,
          inherited: submission.inherited ?? false,
          progress: submission.progress ?? jobProgress.NO_PROGRESS,
        },
        world.now,
        wall,
      );
      return id;
    },
    decide() {
      const first = scheduler.decide(world.now, wall).starts;
      confirmWrites();
      return [...first, ...scheduler.decide(world.now, wall).starts];
    },
    startAll() {
      const orders = world.decide();
      for (const {attempt} of orders) {
        scheduler.onStartAnswered(attempt, {type: 'started'}, world.now);
      }
      world.now = types.clock.after(world.now, 1);
      return orders.map((order) => order.attempt);
    },
    end(attempt, how) {
      const {taskId, number: attemptNumber, workerId} = attempt;
      const row = {
        sequence: ++sequence,
        taskId,
        attempt: attemptNumber,
        how,
        checkpoint: '',
      };
      scheduler.applyReport(
        {
          workerId,
          askedAt: world.now,
          running: [],
          ends: [row],
          complete: false,
        },
        world.now,
      );
      confirmWrites();
    },
    report(workerId, running) {
      scheduler.applyReport(
        {workerId, askedAt: world.now, running, ends: [], complete: true},
        world.now,
      );
    },
  };
  return world;
}

/** Creates the entry of a running attempt in a worker report. */
export function runningAttempt(
  taskId: string,
  attemptNumber: number,
  percent = 10,
): schedulerTypes.RunningAttempt {
  return {
    taskId: types.ids.brand(taskId),
    attempt: attemptNumber,
    checkpoint: '',
    percent,
  };
}
