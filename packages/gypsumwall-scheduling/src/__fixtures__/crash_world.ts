/**
 * Simulates a cell whose workers crash, leave, are cut off and restart, on a
 * simulated clock. Some tasks crash each worker that starts them. Workers
 * answer at once and the store takes a moment, so that a test checks the
 * decisions alone. The world keeps its own record of crashes and failures.
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
/** Time from the announcement of a departure to the departure. */
const DRAIN_MS = 2_000;
/** Attempts are stopped this long before their worker leaves. */
const EVACUATION_MS = 1_000;
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

/** Properties of a step that replace the usual ones. */
export type StepFields = Partial<jobRequest.StepRequest>;

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
  const jobsById = new Map<string, crashModel.Job>();
  const persisted = new Map<types.ids.JobId, jobProgress.JobProgress>();
  const unreconciled = new Set<types.ids.WorkerId>();
  /** Machines by the ids of all incarnations of their workers. */
  const machinesByWorker = new Map<types.ids.WorkerId, crashModel.Machine>();
  /** Incarnations that the store has recorded as used. */
  const usedWorkers = new Map<types.ids.WorkerId, workerRegistry.WorkerInfo>();
  const starts: crashModel.ObservedStart[] = [];
  const crashes: crashModel.ObservedCrash[] = [];
  const failures: crashModel.ObservedFailure[] = [];
  const failedJobs: crashModel.FailedJob[] = [];
  const events: schedulerTypes.SchedulerEvent[] = [];
  let writes: crashModel.Write[] = [];
  let removedWorkers: types.ids.WorkerId[] = [];
  /** Incarnations of which the present holder knows that they leave. */
  let leavingWorkers = new Set<types.ids.WorkerId>();
  let unansweredStops: activeJob.Attempt[] = [];

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
  const isReachable = (machine: crashModel.Machine) =>
    isUp(machine) && !machine.isCutOff;

  function jobOf(taskId: types.ids.TaskId): crashModel.Job {
    return jobsById.get(taskId.slice(0, taskId.indexOf('.')))!;
  }

  function stepOf(taskId: types.ids.TaskId): jobRequest.StepRequest {
    return jobOf(taskId).request.steps[Number(taskId.split('.')[2])]!;
  }

  /** Whether the behaviour of the job names this task. */
  function isNamed(
    {taskId}: crashModel.RealAttempt,
    named: {readonly index: number} | undefined,
  ): boolean {
    const [, , step, index] = taskId.split('.').map(Number);
    return named !== undefined && step === 0 && index === named.index;
  }

  function crashAfterMsOf(attempt: crashModel.RealAttempt): number | undefined {
    const {crash} = jobOf(attempt.taskId).behaviour;
    return isNamed(attempt, crash) ? crash?.afterMs : undefined;
  }

  function failAfterMsOf(attempt: crashModel.RealAttempt): number | undefined {
    const {fail} = jobOf(attempt.taskId).behaviour;
    if (fail === undefined || !isNamed(attempt, fail)) return undefined;
    const failed = failures.filter(({taskId}) => taskId === attempt.taskId);
    return failed.length < fail.attempts ? fail.afterMs : undefined;
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
    leavingWorkers = new Set();
    unansweredStops = [];
    for (const machine of machines) machine.receivedSequence = 0;
    for (const info of usedWorkers.values())
      created.putWorker({...info, draining: true});
    for (const machine of machines) {
      if (isUp(machine)) listWorker(created, machine);
      if (isReachable(machine)) endEarlierIncarnations(created, machine);
    }
    return created;
  }

  function listWorker(
    target: schedulerTypes.Scheduler,
    {info}: crashModel.Machine,
  ): void {
    target.putWorker(info);
    if (info.draining) leavingWorkers.add(info.id);
  }

  function knownIncarnations(
    target: schedulerTypes.Scheduler,
    machine: crashModel.Machine,
  ): types.ids.WorkerId[] {
    return [...target.workerRegistry.workers.keys()].filter(
      (id) => machinesByWorker.get(id) === machine,
    );
  }

  /** Called when the present incarnation of a machine answers. */
  function endEarlierIncarnations(
    target: schedulerTypes.Scheduler,
    machine: crashModel.Machine,
  ): void {
    for (const id of knownIncarnations(target, machine)) {
      if (id === machine.info.id) continue;
      removeWorker(target, id, leavingWorkers.has(id) ? 'left' : 'crashed');
    }
  }

  function removeWorker(
    target: schedulerTypes.Scheduler,
    id: types.ids.WorkerId,
    cause: schedulerTypes.IncarnationEnd,
  ): void {
    target.removeWorker(id, cause, now);
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
    if (how === 'failed')
      failures.push({at: now, taskId, attempt: attemptNumber});
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
    const isHidden = machine.isCutOff || machine.leavesAt !== undefined;
    crashes.push({at: now, worker, culprit, tasks, isHidden});
    endIncarnation(machine, tasks);
    if (!machine.isCutOff) loseContact(machine);
  }

  function endIncarnation(
    machine: crashModel.Machine,
    tasks: readonly types.ids.TaskId[],
  ): void {
    machine.backAt = types.clock.after(now, restartMs);
    machine.leavesAt = undefined;
    machine.silentSince ??= now;
    machine.attempts = [];
    machine.ends = [];
    for (const taskId of tasks) endGang(taskId, 'broken');
  }

  function loseContact({info, isCutOff}: crashModel.Machine): void {
    if (scheduler?.workerRegistry.workers.has(info.id) !== true) return;
    scheduler.setUsable(info.id, false, now, isCutOff);
    scheduler.onWorkerUnreachable(info.id);
  }

  /** Ends a worker that has announced it; only a present holder sees it leave. */
  function depart(machine: crashModel.Machine): void {
    const {id} = machine.info;
    endIncarnation(
      machine,
      machine.attempts.map((attempt) => attempt.taskId),
    );
    if (scheduler?.workerRegistry.workers.has(id) === true)
      removeWorker(scheduler, id, 'left');
  }

  function restart(machine: crashModel.Machine): void {
    const {name} = machine;
    machine.backAt = undefined;
    machine.sequence = 0;
    machine.receivedSequence = 0;
    const id = types.ids.brand<types.ids.WorkerId>(
      `${name}.${++machine.incarnation}`,
    );
    machine.info = {...machine.info, id, draining: false};
    machinesByWorker.set(id, machine);
    if (!machine.isCutOff) regainContact(machine);
  }

  function regainContact(machine: crashModel.Machine): void {
    machine.silentSince = undefined;
    if (scheduler === undefined) return;
    endEarlierIncarnations(scheduler, machine);
    listWorker(scheduler, machine);
  }

  /** Ends all attempts of a worker whose lease nobody has renewed. */
  function expireLease(machine: crashModel.Machine): void {
    const {isCutOff, silentSince} = machine;
    if (!isCutOff || silentSince === undefined) return;
    if (now - silentSince < LEASE_MS) return;
    for (const attempt of [...machine.attempts]) {
      if (!machine.attempts.includes(attempt)) continue;
      endAttempt(machine, attempt, 'lapsed');
      endGang(attempt.taskId, 'broken');
    }
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
      const failAfterMs = failAfterMsOf(attempt);
      if (failAfterMs !== undefined && ranMs >= failAfterMs) {
        endAttempt(machine, attempt, 'failed');
        endGang(attempt.taskId, 'broken');
      } else if (attempt.stopsAt !== undefined && now >= attempt.stopsAt) {
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
    if (!isReachable(machine) || machine.info.id !== attempt.workerId) {
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

  /** Returns whether the stop has been answered or the worker is over. */
  function stop(
    target: schedulerTypes.Scheduler,
    attempt: activeJob.Attempt,
  ): boolean {
    const machine = machinesByWorker.get(attempt.workerId);
    if (machine === undefined || machine.info.id !== attempt.workerId)
      return true;
    if (!isReachable(machine)) return !isUp(machine);
    const found = machine.attempts.find(
      (one) => one.taskId === attempt.taskId && one.number === attempt.number,
    );
    if (found !== undefined) found.stopsAt = types.clock.after(now, STOP_MS);
    target.onStopAnswered(attempt, now);
    return true;
  }

  function report(
    target: schedulerTypes.Scheduler,
    machine: crashModel.Machine,
  ): void {
    const {id} = machine.info;
    if (!target.workerRegistry.workers.has(id)) listWorker(target, machine);
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
      machines.map((one) => [one.info.id, one.receivedSequence]),
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
      for (const {jobId, progress} of dirty) persist(jobId, progress);
      target.onStored(dirty);
      for (const [id, upTo] of receivedSequences) {
        const machine = machinesByWorker.get(id)!;
        if (machine.info.id !== id) continue;
        machine.ends = machine.ends.filter((end) => end.sequence > upTo);
      }
    }
  }

  function persist(
    id: types.ids.JobId,
    progress: jobProgress.JobProgress,
  ): void {
    if (progress.phase === 'failed' && stateOf(id) !== 'failed') {
      failedJobs.push({at: now, job: jobsById.get(id)!});
    }
    persisted.set(id, progress);
  }

  function runHolder(target: schedulerTypes.Scheduler): void {
    confirmWrites(target);
    if (now >= reportsAt) {
      reportsAt = types.clock.after(now, REPORT_EVERY_MS);
      for (const machine of machines)
        if (isReachable(machine)) report(target, machine);
    }
    for (const machine of machines) {
      const {info, leavesAt, silentSince} = machine;
      if (leavesAt !== undefined && now >= leavesAt - EVACUATION_MS)
        target.evacuate(info.id);
      if (silentSince === undefined || now - silentSince < LEASE_MS) continue;
      for (const id of knownIncarnations(target, machine)) {
        target.onLeaseExpired(id, now);
        reconcile(id);
      }
    }
    unansweredStops = [...unansweredStops, ...target.takeStops()].filter(
      (attempt) => !stop(target, attempt),
    );
    const {starts: orders} = target.decide(now, 0 as types.clock.WallMs);
    flush(target);
    for (const order of orders) start(target, order);
  }

  function step(): void {
    now = types.clock.after(now, STEP_MS);
    for (const machine of machines) {
      if (!isUp(machine) && now >= machine.backAt!) restart(machine);
      if (isUp(machine)) work(machine);
      expireLease(machine);
      if (machine.leavesAt !== undefined && now >= machine.leavesAt)
        depart(machine);
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
    failures,
    failedJobs,
    events,
    machines,
    get now() {
      return now;
    },
    submit(
      name: string,
      fields: StepFields | readonly StepFields[],
      behaviour: crashModel.Behaviour,
      policy: Partial<jobRequest.QueuePolicy> = {},
    ): types.ids.JobId {
      const steps: readonly StepFields[] = [fields].flat();
      const id = types.ids.brand<types.ids.JobId>(name);
      const job: crashModel.Job = {
        id,
        request: {payload: name, steps: steps.map(schedulerWorlds.step)},
        policy: {...schedulerWorlds.POLICY, ...policy},
        behaviour,
        acceptedAt: now,
      };
      jobs.push(job);
      jobsById.set(id, job);
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
    /** Cuts a machine off from the holder; its worker goes on. */
    cutOff(machine: crashModel.Machine): void {
      if (machine.isCutOff) return;
      machine.isCutOff = true;
      machine.silentSince ??= now;
      if (isUp(machine)) loseContact(machine);
      const last = crashes.findLast(({worker}) => worker === machine.info.id);
      if (last !== undefined) last.isHidden = true;
    },
    reconnect(machine: crashModel.Machine): void {
      machine.isCutOff = false;
      if (isUp(machine)) regainContact(machine);
    },
    /**
     * Announces that a worker leaves. After it has left, another worker starts
     * at its address.
     */
    leave(machine: crashModel.Machine): void {
      if (!isUp(machine) || machine.leavesAt !== undefined) return;
      machine.leavesAt = types.clock.after(now, DRAIN_MS);
      machine.info = {...machine.info, draining: true};
      if (scheduler !== undefined) listWorker(scheduler, machine);
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
      if (isReachable(machine)) scheduler?.putWorker(machine.info);
    },
    /**
     * Number of starts of a task after the third crash that it has caused.
     * Hidden crashes and the starts that led to them do not count.
     */
    startsAfterThirdCrash(taskId: string): number {
      const caused = crashes.filter((one) => one.culprit === taskId);
      const third = caused.filter((one) => !one.isHidden)[2];
      if (third === undefined) return 0;
      const isHidden = (worker: types.ids.WorkerId) =>
        caused.some((one) => one.worker === worker && one.isHidden);
      return starts.filter(
        (one) =>
          one.taskId === taskId && one.at > third.at && !isHidden(one.worker),
      ).length;
    },
  };
}

/** A world as created by `createCrashWorld`. */
export type CrashWorld = ReturnType<typeof createCrashWorld>;
