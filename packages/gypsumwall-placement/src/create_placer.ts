/**
 * The placement policy of a failure domain. It puts together the books, the
 * queue, what was learned and the safeguards; each of them is a module of its
 * own. Time comes only with calls, so the same calls decide the same.
 */
import * as types from '@gypsumwall/types';
import * as admission from './admission.js';
import type * as bookRecords from './book_records.js';
import * as books from './books.js';
import * as explainWait from './explain_wait.js';
import * as jobFailures from './job_failures.js';
import * as jobQueue from './job_queue.js';
import * as pickWorker from './pick_worker.js';
import * as placementRound from './placement_round.js';
import type * as placer from './placer.js';
import * as quarantine from './quarantine.js';
import * as rackSpread from './rack_spread.js';
import * as relief from './relief.js';
import * as reservations from './reservations.js';
import * as sizeLearner from './size_learner.js';
import * as taskSize from './task_size.js';
import * as waitingJobs from './waiting_jobs.js';
import * as workerIndex from './worker_index.js';

/** Settings of the policy; teams bring their own in `setTeam`. */
export interface PlacerOptions {
  /** For sampling workers; the same seed decides the same. */
  readonly random?: types.random.Random;
  /** New jobs are refused beyond this, the least urgent first. */
  readonly maxWaitingJobs?: number;
}

const DEFAULT_MAX_WAITING_JOBS = 100_000;
const DEFAULT_SEED = 1;
/** A job that failed on so many workers condemns no further one. */
const JOB_IS_SUSPECT_AT = 2;
/** Share of a worker's processors in use from which tasks slow each other. */
const SQUEEZED_AT = 0.98;

/** Creates the policy with empty books. */
export function createPlacer(options: PlacerOptions = {}): placer.Placer {
  const random = options.random ?? types.random.createRandom(DEFAULT_SEED);
  const maxWaitingJobs = options.maxWaitingJobs ?? DEFAULT_MAX_WAITING_JOBS;
  const index = workerIndex.createWorkerIndex();
  const learner = sizeLearner.createSizeLearner();
  const failures = jobFailures.createJobFailures();
  const spread = rackSpread.createRackSpread();
  /** Workers with more room than at the last round. */
  const grown = new Set<bookRecords.WorkerRecord>();
  let givenUp = new Map<types.ids.JobId, string>();
  let undoing = false;
  let lastNow = 0;

  const domainBooks = books.createBooks(onRoom);
  const sizes = taskSize.createTaskSizes(learner, domainBooks);
  const sizeOf = (job: jobQueue.JobRecord) => sizes.sizeOf(job.spec);
  const waiting = waitingJobs.createWaitingJobs(domainBooks, sizes);
  const {list, largest} = domainBooks;
  const watch = relief.createReliefWatch({list, random, sizeOf});
  const reserved = reservations.createReservations({
    list,
    largest,
    random,
    sizeOf,
    reserve: (worker, amount, sign) =>
      domainBooks.reserve(worker, amount, sign),
    quietly,
  });
  const quarantined = quarantine.createQuarantine(
    domainBooks.workers,
    onUsable,
  );
  const parts: placementRound.RoundParts = {
    books: domainBooks,
    queue: waiting.queue,
    sizes,
    pick: pickWorker.createWorkerPicker(index, random),
    failures,
    spread,
    reservations: reserved,
    hold,
    undo,
    noteTaken: (job, count) => waiting.noteTaken(job, count),
    takeOut: (jobId, at) => waiting.takeOut(jobId, at),
  };

  function isUsable(worker: bookRecords.WorkerRecord): boolean {
    return worker.open && !worker.quarantined;
  }

  function onRoom(worker: bookRecords.WorkerRecord, grew: boolean): void {
    index.update(worker, isUsable(worker));
    if (grew && !undoing) grown.add(worker);
  }

  function onUsable(worker: bookRecords.WorkerRecord): void {
    onRoom(worker, isUsable(worker));
  }

  function hold(task: placer.RunningTask, endsAt: number): void {
    const record = domainBooks.book(task, endsAt);
    spread.note(record, 1);
    quarantined.noteProbeStarted(record.worker);
  }

  /** Room given back by `action` is no new room for those who wait. */
  function quietly(action: () => void): void {
    undoing = true;
    action();
    undoing = false;
  }

  function undo(placements: readonly placer.Placement[]): void {
    quietly(() => placements.forEach((each) => unhold(each.taskId)));
  }

  function unhold(
    taskId: types.ids.TaskId,
  ): bookRecords.HeldRecord | undefined {
    const task = domainBooks.unbook(taskId);
    if (task !== undefined) spread.note(task, -1);
    return task;
  }

  function dropJob(jobId: types.ids.JobId): void {
    failures.forget(jobId);
    const job = waiting.get(jobId);
    if (job === undefined) return;
    reserved.end(job);
    waiting.drop(job);
  }

  function noteFailed(task: bookRecords.HeldRecord, message: string): void {
    const {jobId, index: at} = types.ids.splitTaskId(task.taskId);
    const {worker} = task;
    const reason = failures.noteFailure(jobId, at, worker.id, message);
    const avoided = failures.workersToAvoid(jobId)?.size ?? 0;
    if (avoided < JOB_IS_SUSPECT_AT) {
      quarantined.noteFailure(worker, jobId, lastNow);
    }
    if (reason === undefined) {
      // Kept off a worker, it must not block jobs that aren't.
      const job = waiting.get(jobId);
      if (job !== undefined) waiting.requeue(job, true);
      return;
    }
    dropJob(jobId);
    givenUp.set(jobId, reason);
  }

  function noteEnd(
    task: bookRecords.HeldRecord,
    report: placer.AttemptReport,
  ): void {
    const {jobId, index: at} = types.ids.splitTaskId(task.taskId);
    switch (report.type) {
      case 'done':
        learner.noteRun(task.spec, report.ranMs);
        failures.noteSuccess(jobId, at);
        quarantined.noteSuccess(task.worker);
        return;
      case 'failed':
        noteFailed(task, report.message);
        return;
      case 'not_started':
        quarantined.noteFailure(task.worker, jobId, lastNow);
        return;
      case 'stopped':
        return;
    }
  }

  return {
    setTeam(team) {
      domainBooks.teams.setTeam(team);
      waiting.queue.unblockTeam(domainBooks.teams.team(team.id));
    },
    setWorker: (worker) => void domainBooks.setWorker(worker),
    cordonWorker(workerId) {
      const worker = domainBooks.workers.get(workerId);
      if (worker === undefined) return;
      domainBooks.setOpen(worker, false);
      reserved.dropWorker(worker);
    },
    removeWorker(workerId) {
      const worker = domainBooks.removeWorker(workerId);
      if (worker === undefined) return;
      reserved.dropWorker(worker);
      quarantined.forget(worker);
      watch.forget(worker);
      grown.delete(worker);
      index.remove(worker);
    },
    admit(spec, now) {
      lastNow = Math.max(lastNow, now);
      const view = {
        books: domainBooks,
        demand: waiting.demand,
        maxWaitingJobs,
        waitingJobs: waiting.jobs(),
        teamWaitingJobs: domainBooks.teams.team(spec.team).waitingJobs,
        waitingWork: waiting.work(),
        estimate: sizes.estimate(spec),
      };
      return admission.admit(view, spec, now);
    },
    enqueue(job) {
      // The holder may not have heard yet that the job was given up.
      if (!givenUp.has(job.jobId)) waiting.enqueue(job, lastNow);
    },
    cancel: dropJob,
    adopt(task) {
      const {jobId, index: at} = types.ids.splitTaskId(task.taskId);
      waiting.takeOut(jobId, at);
      unhold(task.taskId);
      hold(task, lastNow + sizes.estimate(task.spec).typicalMs);
    },
    release(taskId, report) {
      const task = unhold(taskId);
      if (task === undefined) return;
      watch.noteWorker(task.worker);
      waiting.queue.unblockTeam(domainBooks.teams.team(task.spec.team));
      noteEnd(task, report);
    },
    reportUsage(taskId, used) {
      const task = domainBooks.held.get(taskId);
      if (task === undefined) return;
      domainBooks.noteUsage(task, used);
      watch.noteWorker(task.worker);
      if (!isPowerOfTwo(task.reports) || isSqueezed(task)) return;
      learner.noteUsage(task.spec, used);
    },
    decide(now, limit) {
      lastNow = Math.max(lastNow, now);
      quarantined.tick(now);
      waiting.promoteDue(now);
      const made = reserved.tick(now, () => waiting.queue.blockedHeads());
      waiting.queue.unblock(grown, now);
      grown.clear();
      const placements = placementRound.runRound(parts, now, limit);
      const due = waiting.queue.blockedDue();
      return {placements, preemptions: [...made, ...watch.decide(now, due)]};
    },
    waitingTasks: () => waiting.tasks(),
    explainWait(jobId) {
      const job = waiting.get(jobId);
      if (job === undefined) return '';
      const avoided = failures.workersToAvoid(jobId);
      return explainWait.explainWait(job, reserved.of(job), avoided);
    },
    takeAbandonedJobs() {
      const taken = [...givenUp].map(([jobId, message]) => ({jobId, message}));
      givenUp = new Map();
      return taken;
    },
  };
}

/**
 * On a worker whose processors are all in use a task uses less than it would.
 * Learning from that would book less and less and fill workers ever more.
 */
function isSqueezed(task: bookRecords.HeldRecord): boolean {
  const {usedCpuMillis, capacity} = task.worker;
  return (
    task.throttledFromMillis > 0 ||
    usedCpuMillis >= capacity.cpuMillis * SQUEEZED_AT
  );
}

/** Long-lived tasks report often; they must not drown the short ones. */
function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}
