/**
 * Schedulers over machines whose workers crash and come back, on a time of its
 * own. Some tasks crash each worker that starts them. Answers come at once and
 * the store takes a moment, so that a test sees the decisions alone.
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
const WHOLE = 100;

/** What a world is made with. */
export interface CrashWorldOptions {
  readonly domains: number;
  readonly machinesPerDomain: number;
  readonly cores: number;
  /** A crashed worker is back after so long; milliseconds. */
  readonly restartMs?: number;
}

const RESTART_MS = 3_000;

/** Creates a world at time 1,000,000 ms. */
export function createCrashWorld(options: CrashWorldOptions) {
  const {restartMs = RESTART_MS} = options;
  let now = 1_000_000 as types.clock.MonotonicMs;
  let generation = 0;
  let scheduler: schedulerTypes.Scheduler | undefined;
  let takesOverAt: types.clock.MonotonicMs | undefined = now;
  let storeDown = false;
  let reportsAt = now;
  const machines: crashModel.Machine[] = [];
  const jobs: crashModel.Job[] = [];
  const persisted = new Map<types.ids.JobId, jobProgress.JobProgress>();
  const unaccounted = new Set<types.ids.WorkerId>();
  /** Machines by the ids of their workers' lives. */
  const lives = new Map<types.ids.WorkerId, crashModel.Machine>();
  /** Lives that the store has on record as used. */
  const used = new Map<types.ids.WorkerId, workerRegistry.WorkerInfo>();
  const starts: crashModel.SeenStart[] = [];
  const crashes: crashModel.SeenCrash[] = [];
  const events: schedulerTypes.SchedulerEvent[] = [];
  let writes: crashModel.Write[] = [];
  let forgotten: types.ids.WorkerId[] = [];

  for (let domain = 0; domain < options.domains; domain++) {
    for (let nth = 0; nth < options.machinesPerDomain; nth++) {
      addMachine(`d${domain}`, `m${domain}-${nth}`);
    }
  }

  function addMachine(domain: string, name: string): void {
    const machine = crashModel.createMachine(domain, name, options.cores);
    machines.push(machine);
    lives.set(machine.info.id, machine);
  }

  const isUp = (machine: crashModel.Machine) => machine.backAt === undefined;

  function jobOf(taskId: types.ids.TaskId): crashModel.Job {
    return jobs.find((job) => taskId.startsWith(`${job.id}.`))!;
  }

  function stepOf(taskId: types.ids.TaskId): jobRequest.StepRequest {
    return jobOf(taskId).request.steps[Number(taskId.split('.')[2])]!;
  }

  function crashOf(run: crashModel.RealRun): number | undefined {
    const {crash} = jobOf(run.taskId).behaviour;
    if (crash === undefined) return undefined;
    const index = Number(run.taskId.split('.')[3]);
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
      isReconciled: (worker) => !unaccounted.has(worker),
      onEvent: (event) => events.push(event),
    });
    for (const job of jobs) addTo(created, job);
    for (const progress of persisted.values()) {
      for (const id of progress.workers) if (used.has(id)) unaccounted.add(id);
    }
    created.onWorkerReconciled();
    for (const machine of machines) machine.heard = 0;
    for (const [id, info] of used) {
      created.putWorker({...info, draining: true});
      if (lives.get(id)!.info.id !== id) tellCrash(created, id);
    }
    for (const machine of machines) {
      if (isUp(machine)) created.putWorker(machine.info);
    }
    return created;
  }

  function tellCrash(
    target: schedulerTypes.Scheduler,
    id: types.ids.WorkerId,
  ): void {
    if (target.workerRegistry.workers.has(id))
      target.removeWorker(id, 'crashed', now);
    forgotten.push(id);
    if (unaccounted.delete(id)) target.onWorkerReconciled();
  }

  function account(id: types.ids.WorkerId): void {
    if (unaccounted.delete(id)) scheduler?.onWorkerReconciled();
  }

  /** Ends the runs of a gang whose member is gone or done. */
  function endGang(
    taskId: types.ids.TaskId,
    how: jobSteps.AttemptOutcome,
  ): void {
    if (!stepOf(taskId).gang) return;
    const prefix = taskId.slice(0, taskId.lastIndexOf('.') + 1);
    for (const machine of machines) {
      for (const run of machine.runs.filter((one) =>
        one.taskId.startsWith(prefix),
      )) {
        endRun(machine, run, how);
      }
    }
  }

  function endRun(
    machine: crashModel.Machine,
    run: crashModel.RealRun,
    how: jobSteps.AttemptOutcome,
  ): void {
    machine.runs = machine.runs.filter((one) => one !== run);
    const {taskId, attempt} = run;
    const sequence = ++machine.sequence;
    machine.ends.push({sequence, taskId, attempt, how, checkpoint: ''});
  }

  function crash(
    machine: crashModel.Machine,
    culprit?: types.ids.TaskId,
  ): void {
    if (!isUp(machine)) return;
    const tasks = machine.runs.map((run) => run.taskId);
    const worker = machine.info.id;
    crashes.push({at: now, worker, culprit, tasks});
    machine.backAt = types.clock.after(now, restartMs);
    machine.crashedAt = now;
    machine.runs = [];
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
    machine.heard = 0;
    const id = types.ids.brand<types.ids.WorkerId>(`${name}.${++machine.life}`);
    machine.info = {...machine.info, id};
    lives.set(id, machine);
    if (scheduler === undefined) return;
    tellCrash(scheduler, before);
    scheduler.putWorker(machine.info);
  }

  function work(machine: crashModel.Machine): void {
    for (const run of [...machine.runs]) {
      if (!machine.runs.includes(run)) continue;
      const ranMs = now - run.startedAt;
      const crashAfterMs = crashOf(run);
      const {workMs} = jobOf(run.taskId).behaviour;
      if (crashAfterMs !== undefined && ranMs >= crashAfterMs) {
        crash(machine, run.taskId);
        return;
      }
      if (run.stopsAt !== undefined && now >= run.stopsAt) {
        endRun(machine, run, 'stopped');
        endGang(run.taskId, 'broken');
      } else if (!stepOf(run.taskId).longRunning && ranMs >= workMs) {
        endRun(machine, run, 'done');
        endGang(run.taskId, 'done');
      }
    }
  }

  function start(
    target: schedulerTypes.Scheduler,
    {attempt: run}: schedulerTypes.StartOrder,
  ): void {
    const machine = lives.get(run.workerId)!;
    if (!isUp(machine) || machine.info.id !== run.workerId) {
      target.onStartAnswered(run, {type: 'unknown'}, now);
      return;
    }
    const {taskId, number: attempt, size, workerId: worker} = run;
    used.set(worker, machine.info);
    machine.runs.push({taskId, attempt, startedAt: now, size});
    const {capacity} = machine.info;
    const exceeds = !types.resources.fits(crashModel.usedOf(machine), capacity);
    starts.push({taskId, worker, at: now, exceeds});
    target.onStartAnswered(run, {type: 'started'}, now);
  }

  function stop(
    target: schedulerTypes.Scheduler,
    run: activeJob.Attempt,
  ): void {
    const machine = lives.get(run.workerId);
    if (machine === undefined || !isUp(machine)) return;
    if (machine.info.id !== run.workerId) return;
    const found = machine.runs.find(
      (one) => one.taskId === run.taskId && one.attempt === run.number,
    );
    if (found !== undefined) found.stopsAt = types.clock.after(now, STOP_MS);
    target.onStopAnswered(run, now);
  }

  function report(
    target: schedulerTypes.Scheduler,
    machine: crashModel.Machine,
  ): void {
    const {id} = machine.info;
    if (!target.workerRegistry.workers.has(id)) target.putWorker(machine.info);
    const percentOf = (run: crashModel.RealRun) =>
      Math.floor((now - run.startedAt) / REPORT_EVERY_MS) % WHOLE;
    target.applyReport(
      {
        workerId: id,
        askedAt: now,
        running: machine.runs.map((run) =>
          schedulerWorlds.row(run.taskId, run.attempt, percentOf(run)),
        ),
        ends: machine.ends.filter((end) => end.sequence > machine.heard),
        complete: true,
      },
      now,
    );
    machine.heard = machine.sequence;
    if (target.workerRegistry.workers.get(id)?.isUsable === false) {
      target.putWorker(machine.info);
      target.setUsable(id, true, now);
    }
    account(id);
  }

  function flush(target: schedulerTypes.Scheduler): void {
    const dirty = target.takeDirty();
    const heard = new Map(machines.map((one) => [one, one.heard]));
    const dueAt = types.clock.after(now, STORE_MS);
    writes.push({dirty, dueAt, heard, forgotten});
    forgotten = [];
  }

  function confirmWrites(target: schedulerTypes.Scheduler): void {
    while (!storeDown && writes.length > 0 && writes[0]!.dueAt <= now) {
      const {dirty, heard, forgotten: over} = writes.shift()!;
      for (const id of over) used.delete(id);
      for (const {jobId, progress} of dirty) persisted.set(jobId, progress);
      target.onStored(dirty);
      for (const [machine, upTo] of heard) {
        machine.ends = machine.ends.filter((end) => end.sequence > upTo);
      }
    }
  }

  function hold(target: schedulerTypes.Scheduler): void {
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
      account(info.id);
    }
    for (const run of target.takeStops()) stop(target, run);
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
    if (scheduler !== undefined) hold(scheduler);
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
    stepsUntil(isDone: () => boolean, mostMs: number): void {
      const until = types.clock.after(now, mostMs);
      while (!isDone() && now < until) step();
    },
    run(spanMs: number): void {
      const until = types.clock.after(now, spanMs);
      while (now < until) step();
    },
    /** A worker crashes by itself. */
    crash: (machine: crashModel.Machine) => crash(machine),
    /** All machines of a domain crash at the same moment, by themselves. */
    cutPower(domain: string): void {
      for (const machine of machines) {
        if (machine.info.domain === domain) crash(machine);
      }
    },
    /** What isn't stored is lost; a successor comes later. */
    killHolder(): void {
      scheduler = undefined;
      writes = [];
      forgotten = [];
      takesOverAt = types.clock.after(now, TAKEOVER_MS);
    },
    setStoreDown(down: boolean): void {
      storeDown = down;
    },
    setCapacity(machine: crashModel.Machine, cores: number): void {
      const capacity = {...machine.info.capacity, cpuMillis: cores * 1_000};
      machine.info = {...machine.info, capacity};
      if (isUp(machine)) scheduler?.putWorker(machine.info);
    },
    /** Starts of a task after the third crash by it. */
    startsAfterThirdCrash(taskId: string): number {
      const third = crashes.filter((one) => one.culprit === taskId)[2];
      if (third === undefined) return 0;
      return starts.filter((one) => one.taskId === taskId && one.at > third.at)
        .length;
    },
  };
}

/** As `createCrashWorld` makes it. */
export type CrashWorld = ReturnType<typeof createCrashWorld>;
