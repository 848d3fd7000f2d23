/**
 * Simulates a cell whose workers crash and restart, on a simulated clock. Some
 * tasks crash each worker that starts them. Workers answer at once and the
 * store takes a moment, so that a test checks the decisions alone.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from '../active_job.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';
import type * as jobSteps from '../job_steps.js';
import * as schedulers from '../scheduler.js';
import type * as schedulerTypes from '../scheduler_types.js';
import type * as workerRegistry from '../worker_registry.js';
import * as crashModel from './crash_model.js';
import * as schedulerWorlds from './scheduler_world.js';

const STEP_MS = 20;
const REPORT_EVERY_MS = 100;
const STOP_MS = 400;
const LEASE_MS = 10_000;
const STORE_MS = 20;
const TAKEOVER_MS = 1_000;
const ATTEMPTS_PER_GENERATION = 1_000;
const FULL_PERCENT = 100;

/** Options of a world. */
export interface CrashWorldOptions {
  readonly domains: number;
  readonly machinesPerDomain: number;
  readonly cores: number;
  /** Time until a crashed worker is restarted; milliseconds. */
  readonly restartMs?: number;
}

const RESTART_MS = 3_000;

/** Creates a world with the clock at 1,000,000 ms. */
export function createCrashWorld(options: CrashWorldOptions) {
  const {restartMs = RESTART_MS} = options;
  let now = 1_000_000 as types.clock.MonotonicMs;
  let generation = 0;
  let scheduler: schedulerTypes.Scheduler | undefined;
  let takesOverAt: types.clock.MonotonicMs | undefined = now;
  let isStoreDown = false;
  let reportsAt = now;
  const machines: crashModel.Machine[] = [];
  const jobs: crashModel.Job[] = [];
  const persisted = new Map<types.ids.JobId, jobProgress.JobProgress>();
  const unreconciled = new Set<types.ids.WorkerId>();
  /** Machines by the ids of all incarnations of their workers. */
  const machinesByWorker = new Map<types.ids.WorkerId, crashModel.Machine>();
  /** Incarnations that the store has recorded as used. */
  const usedWorkers = new Map<types.ids.WorkerId, workerRegistry.WorkerInfo>();
  const starts: crashModel.ObservedStart[] = [];
  const crashes: crashModel.ObservedCrash[] = [];
  const events: schedulerTypes.SchedulerEvent[] = [];
  let writes: crashModel.Write[] = [];
  let removedWorkers: types.ids.WorkerId[] = [];

  for (let domain = 0; domain < options.domains; domain++) {
    for (let nth = 0; nth < options.machinesPerDomain; nth++) {
      addMachine(`d${domain}`, `m${domain}-${nth}`);
    }
  }

  function addMachine(domain: string, name: string): void {
    const machine = crashModel.createMachine(domain, name, options.cores);
    machines.push(machine);
    machinesByWorker.set(machine.info.id, machine);
  }

  const isUp = (machine: crashModel.Machine) => machine.backAt === undefined;

  function jobOf(taskId: types.ids.TaskId): crashModel.Job {
    return jobs.find((job) => taskId.startsWith(`${job.id}.`))!;
  }

  function stepOf(taskId: types.ids.TaskId): jobRequest.StepRequest {
    return jobOf(taskId).request.steps[Number(taskId.split('.')[2])]!;
  }

  function crashAfterMsOf(attempt: crashModel.RealAttempt): number | undefined {
    const {crash} = jobOf(attempt.taskId).behaviour;
    if (crash === undefined) return undefined;
    const index = Number(attempt.taskId.split('.')[3]);
    return index === crash.index ? crash.afterMs : undefined;
  }

  function addTo(target: schedulerTypes.Scheduler, job: crashModel.Job): void {
    const {id, request, policy, acceptedAt} = job;
    const progress = persisted.get(id) ?? jobProgress.NO_PROGRESS;
    if (jobProgress.isOver(progress.phase)) return;
    const inherited = persisted.has(id);
    target.addJob(
      {id, request, policy, acceptedAt, inherited, progress},
      now,
      0 as types.clock.WallMs,
    );
  }

  function createScheduler(): schedulerTypes.Scheduler {
    const created = schedulers.createScheduler({
      attemptBase: generation++ * ATTEMPTS_PER_GENERATION,
      isReconciled: (worker) => !unreconciled.has(worker),
      onEvent: (event) => events.push(event),
    });
    for (const job of jobs) addTo(created, job);
    for (const progress of persisted.values()) {
      for (const id of progress.workers)
        if (usedWorkers.has(id)) unreconciled.add(id);
    }
    created.onWorkerReconciled();
    for (const machine of machines) machine.receivedSequence = 0;
    for (const [id, info] of usedWorkers) {
      created.putWorker({...info, draining: true});
      if (machinesByWorker.get(id)!.info.id !== id) reportCrash(created, id);
    }
    for (const machine of machines) {
      if (isUp(machine)) created.putWorker(machine.info);
    }
    return created;
  }

  function reportCrash(
    target: schedulerTypes.Scheduler,
    id: types.ids.WorkerId,
  ): void {
    if (target.workerRegistry.workers.has(id))
      target.removeWorker(id, 'crashed', now);
    removedWorkers.push(id);
    if (unreconciled.delete(id)) target.onWorkerReconciled();
  }

  function reconcile(id: types.ids.WorkerId): void {
    if (unreconciled.delete(id)) scheduler?.onWorkerReconciled();
  }

  /** Ends the attempts of a gang whose member has crashed or ended. */
  function endGang(
    taskId: types.ids.TaskId,
    how: jobSteps.AttemptOutcome,
  ): void {
    if (!stepOf(taskId).gang) return;
    const prefix = taskId.slice(0, taskId.lastIndexOf('.') + 1);
    for (const machine of machines) {
      for (const attempt of machine.attempts.filter((one) =>
        one.taskId.startsWith(prefix),
      )) {
        endAttempt(machine, attempt, how);
      }
    }
  }

  function endAttempt(
    machine: crashModel.Machine,
    attempt: crashModel.RealAttempt,
    how: jobSteps.AttemptOutcome,
  ): void {
    machine.attempts = machine.attempts.filter((one) => one !== attempt);
    const {taskId, number: attemptNumber} = attempt;
    const sequence = ++machine.sequence;
    machine.ends.push({
      sequence,
      taskId,
      attempt: attemptNumber,
      how,
      checkpoint: '',
    });
  }

  function crash(
    machine: crashModel.Machine,
    culprit?: types.ids.TaskId,
  ): void {
    if (!isUp(machine)) return;
    const tasks = machine.attempts.map((attempt) => attempt.taskId);
    const worker = machine.info.id;
    crashes.push({at: now, worker, culprit, tasks});
    machine.backAt = types.clock.after(now, restartMs);
    machine.crashedAt = now;
    machine.attempts = [];
    machine.ends = [];
    for (const taskId of tasks) endGang(taskId, 'broken');
    if (scheduler?.workerRegistry.workers.has(worker) !== true) return;
    scheduler.setUsable(worker, false, now);
    scheduler.onWorkerUnreachable(worker);
  }

  function restart(machine: crashModel.Machine): void {
    const before = machine.info.id;
    const {name} = machine;
    machine.backAt = undefined;
    machine.sequence = 0;
    machine.receivedSequence = 0;
    const id = types.ids.brand<types.ids.WorkerId>(
      `${name}.${++machine.incarnation}`,
    );
    machine.info = {...machine.info, id};
    machinesByWorker.set(id, machine);
    if (scheduler === undefined) return;
    reportCrash(scheduler, before);
    scheduler.putWorker(machine.info);
  }

  function work(machine: crashModel.Machine): void {
    for (const attempt of [...machine.attempts]) {
      if (!machine.attempts.includes(attempt)) continue;
      const ranMs = now - attempt.startedAt;
      const crashAfterMs = crashAfterMsOf(attempt);
      const {workMs} = jobOf(attempt.taskId).behaviour;
      if (crashAfterMs !== undefined && ranMs >= crashAfterMs) {
        crash(machine, attempt.taskId);
        return;
      }
      if (attempt.stopsAt !== undefined && now >= attempt.stopsAt) {
        endAttempt(machine, attempt, 'stopped');
        endGang(attempt.taskId, 'broken');
      } else if (!stepOf(attempt.taskId).longRunning && ranMs >= workMs) {
        endAttempt(machine, attempt, 'done');
        endGang(attempt.taskId, 'done');
      }
    }
  }

  function start(
    target: schedulerTypes.Scheduler,
    {attempt}: schedulerTypes.StartOrder,
  ): void {
    const machine = machinesByWorker.get(attempt.workerId)!;
    if (!isUp(machine) || machine.info.id !== attempt.workerId) {
      target.onStartAnswered(attempt, {type: 'unknown'}, now);
      return;
    }
    const {taskId, number: attemptNumber, size, workerId: worker} = attempt;
    usedWorkers.set(worker, machine.info);
    machine.attempts.push({
      taskId,
      number: attemptNumber,
      startedAt: now,
      size,
    });
    const {capacity} = machine.info;
    const exceedsCapacity = !types.resources.fits(
      crashModel.usedResources(machine),
      capacity,
    );
    starts.push({taskId, worker, at: now, exceedsCapacity});
    target.onStartAnswered(attempt, {type: 'started'}, now);
  }

  function stop(
    target: schedulerTypes.Scheduler,
    attempt: activeJob.Attempt,
  ): void {
    const machine = machinesByWorker.get(attempt.workerId);
    if (machine === undefined || !isUp(machine)) return;
    if (machine.info.id !== attempt.workerId) return;
    const found = machine.attempts.find(
      (one) => one.taskId === attempt.taskId && one.number === attempt.number,
    );
    if (found !== undefined) found.stopsAt = types.clock.after(now, STOP_MS);
    target.onStopAnswered(attempt, now);
  }

  function report(
    target: schedulerTypes.Scheduler,
    machine: crashModel.Machine,
  ): void {
    const {id} = machine.info;
    if (!target.workerRegistry.workers.has(id)) target.putWorker(machine.info);
    const percentOf = (attempt: crashModel.RealAttempt) =>
      Math.floor((now - attempt.startedAt) / REPORT_EVERY_MS) % FULL_PERCENT;
    target.applyReport(
      {
        workerId: id,
        askedAt: now,
        running: machine.attempts.map((attempt) =>
          schedulerWorlds.runningAttempt(
            attempt.taskId,
            attempt.number,
            percentOf(attempt),
          ),
        ),
        ends: machine.ends.filter(
          (end) => end.sequence > machine.receivedSequence,
        ),
        complete: true,
      },
      now,
    );
    machine.receivedSequence = machine.sequence;
    if (target.workerRegistry.workers.get(id)?.isUsable === false) {
      target.putWorker(machine.info);
      target.setUsable(id, true, now);
    }
    reconcile(id);
  }

  function flush(target: schedulerTypes.Scheduler): void {
    const dirty = target.takeDirty();
    const receivedSequences = new Map(
      machines.map((one) => [one, one.receivedSequence]),
    );
    const dueAt = types.clock.after(now, STORE_MS);
    writes.push({dirty, dueAt, receivedSequences, removedWorkers});
    removedWorkers = [];
  }

  function confirmWrites(target: schedulerTypes.Scheduler): void {
    while (!isStoreDown && writes.length > 0 && writes[0]!.dueAt <= now) {
      const {
        dirty,
        receivedSequences,
        removedWorkers: removed,
      } = writes.shift()!;
      for (const id of removed) usedWorkers.delete(id);
      for (const {jobId, progress} of dirty) persisted.set(jobId, progress);
      target.onStored(dirty);
      for (const [machine, upTo] of receivedSequences) {
        machine.ends = machine.ends.filter((end) => end.sequence > upTo);
      }
    }
  }

  function runHolder(target: schedulerTypes.Scheduler): void {
    confirmWrites(target);
    if (now >= reportsAt) {
      reportsAt = types.clock.after(now, REPORT_EVERY_MS);
      for (const machine of machines)
        if (isUp(machine)) report(target, machine);
    }
    for (const machine of machines) {
      const {crashedAt, info} = machine;
      if (isUp(machine) || now - crashedAt! < LEASE_MS) continue;
      if (!target.workerRegistry.workers.has(info.id)) continue;
      target.onLeaseExpired(info.id, now);
      reconcile(info.id);
    }
    for (const attempt of target.takeStops()) stop(target, attempt);
    const {starts: orders} = target.decide(now, 0 as types.clock.WallMs);
    flush(target);
    for (const order of orders) start(target, order);
  }

  function step(): void {
    now = types.clock.after(now, STEP_MS);
    for (const machine of machines) {
      if (!isUp(machine) && now >= machine.backAt!) restart(machine);
      if (isUp(machine)) work(machine);
    }
    if (takesOverAt !== undefined && now >= takesOverAt) {
      takesOverAt = undefined;
      scheduler = createScheduler();
    }
    if (scheduler !== undefined) runHolder(scheduler);
  }

  const stateOf = (id: types.ids.JobId): jobProgress.JobPhase =>
    persisted.get(id)?.phase ?? 'queued';

  return {
    starts,
    crashes,
    events,
    machines,
    get now() {
      return now;
    },
    submit(
      name: string,
      fields: Partial<jobRequest.StepRequest>,
      behaviour: crashModel.Behaviour,
    ): types.ids.JobId {
      const id = types.ids.brand<types.ids.JobId>(name);
      const job: crashModel.Job = {
        id,
        request: {payload: name, steps: [schedulerWorlds.step(fields)]},
        policy: schedulerWorlds.POLICY,
        behaviour,
        acceptedAt: now,
      };
      jobs.push(job);
      if (scheduler !== undefined) addTo(scheduler, job);
      return id;
    },
    stateOf,
    runUntil(isDone: () => boolean, maxMs: number): void {
      const until = types.clock.after(now, maxMs);
      while (!isDone() && now < until) step();
    },
    run(spanMs: number): void {
      const until = types.clock.after(now, spanMs);
      while (now < until) step();
    },
    /** Crashes a worker without a task at fault. */
    crash: (machine: crashModel.Machine) => crash(machine),
    /**
     * Crashes all machines of a domain at the same moment, without a task at
     * fault.
     */
    cutPower(domain: string): void {
      for (const machine of machines) {
        if (machine.info.domain === domain) crash(machine);
      }
    },
    /**
     * Stops the holder; what is not stored is lost. A successor takes over
     * later.
     */
    killHolder(): void {
      scheduler = undefined;
      writes = [];
      removedWorkers = [];
      takesOverAt = types.clock.after(now, TAKEOVER_MS);
    },
    setStoreDown(down: boolean): void {
      isStoreDown = down;
    },
    setCapacity(machine: crashModel.Machine, cores: number): void {
      const capacity = {...machine.info.capacity, cpuMillis: cores * 1_000};
      machine.info = {...machine.info, capacity};
      if (isUp(machine)) scheduler?.putWorker(machine.info);
    },
    /** Number of starts of a task after the third crash that it has caused. */
    startsAfterThirdCrash(taskId: string): number {
      const third = crashes.filter((one) => one.culprit === taskId)[2];
      if (third === undefined) return 0;
      return starts.filter((one) => one.taskId === taskId && one.at > third.at)
        .length;
    },
  };
}

/** A world as created by `createCrashWorld`. */
export type CrashWorld = ReturnType<typeof createCrashWorld>;
