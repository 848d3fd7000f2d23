/**
 * Explains where a job would start now and why, by the modules that place tasks.
 * They work on a copy of the workers, so nothing is reserved or stored.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as jobOrder from './job_order.js';
import * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';
import * as openOccurrences from './open_occurrences.js';
import * as restoreJob from './restore_job.js';
import * as nearChoices from './near_choice.js';
import * as nearPlace from './near_place.js';
import * as nearStarts from './near_starts.js';
import * as placeStep from './place_step.js';
import type * as placements from './placements.js';
import * as planAdviceCalls from './plan_advice_calls.js';
import * as quotaGate from './quota_gate.js';
import * as waitReasons from './wait_reasons.js';
import * as workerRegistry from './worker_registry.js';

/** A worker and how many tasks would start on it. */
export interface ChosenWorker {
  readonly worker: types.ids.WorkerId;
  readonly rack: types.ids.RackId;
  readonly tasks: number;
}

/** What a step would do now. Times are in milliseconds from now. */
export type StepOutlook =
  | {
      /** As many of its tasks as fit would start. */
      readonly type: 'starts';
      /** Whether no other place would be faster. */
      readonly isNear: boolean;
      readonly workers: readonly ChosenWorker[];
      /** Number of tasks that would wait. */
      readonly waiting: number;
    }
  | {
      /** It could start far and would wait for a near place. */
      readonly type: 'waits_for_near_place';
      readonly rack: types.ids.RackId | undefined;
      readonly atMostMs: number;
    }
  | {
      /** The adviser would be asked first, about these workers. */
      readonly type: 'asks_adviser';
      readonly workers: readonly types.ids.WorkerId[];
      readonly callMs: number;
    }
  /** The quota of its organisation has no room. */
  | {readonly type: 'waits_for_quota'}
  | {readonly type: 'waits_for_room'};

/** Explanation of a step that could start now. */
export interface StepExplanation {
  readonly step: number;
  readonly tasks: number;
  /** Number of waiting steps that rank before it. */
  readonly stepsAhead: number;
  /** Number of workers by the first thing that keeps the step off them. */
  readonly workers: waitReasons.WaitReasons;
  readonly outlook: StepOutlook;
}

/** Explanation of a job. */
export interface JobExplanation {
  /** Target duration of the job; milliseconds. */
  readonly objectiveMs: number;
  /** Expected duration of its longest chain of steps; milliseconds. */
  readonly expectedMs: number;
  /** Its first steps; the others wait for these. */
  readonly steps: readonly StepExplanation[];
}

/** The job to explain. */
export interface JobQuestion {
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly organisation?: types.ids.OrganisationId;
}

/** Explains a job as if it were accepted and due now. */
export type ExplainJob = (
  question: JobQuestion,
  now: types.clock.MonotonicMs,
) => JobExplanation;

/** State of the scheduler that the explanation reads. */
export interface ExplainContext extends Omit<
  chooseWorker.ChoiceContext,
  'isReserved' | 'nearChoice' | 'maxTasks'
> {
  readonly waitingSteps: Iterable<activeJob.StepRun>;
  /** Reserved workers and the gang for which each is reserved. */
  readonly reservations: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
  readonly nearPolicy?: nearChoices.NearPolicy;
}

/** Explains a job as if it were accepted and due now. */
export function explainJob(
  {request, policy, organisation}: JobQuestion,
  context: ExplainContext,
): JobExplanation {
  const {now} = context;
  const job = restoreJob.createJob({
    id: types.ids.brand<types.ids.JobId>('explained'),
    request: {...request, schedule: undefined},
    policy,
    organisation,
    acceptedAt: now,
    inherited: false,
    progress: jobProgress.NO_PROGRESS,
    arrival: Infinity,
    isExcess: false,
  });
  const opened = openOccurrences.openDue(job, now, 0 as types.clock.WallMs, {
    costLeft: 0,
    canStoreRanges: true,
  });
  return {
    objectiveMs: Math.round(activeJob.objectiveMs(job)),
    expectedMs: Math.round(jobRequest.expectedChainMs(request)),
    steps: opened.map((stepRun) => explainStep(stepRun, context)),
  };
}

function explainStep(
  stepRun: activeJob.StepRun,
  context: ExplainContext,
): StepExplanation {
  const {waitingSteps, reservations, now} = context;
  const ranked = (one: activeJob.StepRun) => one.rank ?? rankOf(one, now);
  const rank = rankOf(stepRun, now);
  const outranks = (one: activeJob.StepRun) =>
    jobOrder.compareRanked(ranked(one), rank) < 0;
  const ahead = [...waitingSteps].filter(outranks);
  const choice = {
    ...context,
    isReserved(id: types.ids.WorkerId) {
      const gang = reservations.get(id);
      return gang !== undefined && outranks(gang);
    },
  };
  return {
    step: stepRun.number,
    tasks: stepRun.waitingIndexes.length,
    stepsAhead: ahead.length,
    workers: waitReasons.countReasons(stepRun, choice),
    outlook: outlookOf(stepRun, [...ahead, stepRun], choice),
  };
}

function rankOf(
  stepRun: activeJob.StepRun,
  now: types.clock.MonotonicMs,
): jobOrder.RankedClaimant {
  const claimant = activeJob.claimantOf(stepRun);
  return {claimant, lateness: jobOrder.lateness(claimant, now)};
}

function outlookOf(
  stepRun: activeJob.StepRun,
  ordered: readonly activeJob.StepRun[],
  context: ExplainContext & chooseWorker.ChoiceContext,
): StepOutlook {
  const {request, job} = stepRun;
  const {quotas} = context.registry;
  const startable = quotaGate.startableTasks(stepRun, quotas);
  if (startable < (request.gang ? request.taskCount : 1))
    return {type: 'waits_for_quota'};
  if (job.policy.advice !== undefined) return adviceOutlook(stepRun, context);
  const {nearPolicy, now} = context;
  const registry = copyRegistry(context.registry);
  const starts = nearStarts.createNearStarts(() => undefined);
  const nearChoice = nearChoices.createNearChoice(
    nearPolicy && {...nearPolicy, starts},
    ordered,
    {...context, registry},
  );
  const choice = {...context, registry, nearChoice, maxTasks: startable};
  const placed = placeStep.placeStep(stepRun, choice);
  if (placed.length > 0) return startOutlook(stepRun, placed);
  const {nearWait} = stepRun;
  if (nearWait === undefined || nearWait.tasks === 0)
    return {type: 'waits_for_room'};
  const atMostMs = Math.round(nearWait.endsAt - now);
  return {type: 'waits_for_near_place', rack: nearWait.rack, atMostMs};
}

function adviceOutlook(
  stepRun: activeJob.StepRun,
  context: ExplainContext & chooseWorker.ChoiceContext,
): StepOutlook {
  const {registry, now, health, isReserved} = context;
  const {workersByCall} = planAdviceCalls.planAdviceCalls(stepRun, {
    registry,
    now,
    canUse: (_, id) =>
      health.trustOf(id, now) !== 'avoided' && isReserved?.(id) !== true,
  });
  const workers = workersByCall[0];
  if (workers === undefined) return {type: 'waits_for_room'};
  const {callMs, perWorkerMs} = stepRun.job.policy.advice!;
  const durationMs = Math.round(callMs + perWorkerMs * workers.length);
  return {type: 'asks_adviser', workers, callMs: durationMs};
}

function startOutlook(
  {request, waitingIndexes}: activeJob.StepRun,
  placed: readonly placements.Placement[],
): StepOutlook {
  const chosen = new Map<workerRegistry.RegisteredWorker, number>();
  for (const {worker} of placed)
    chosen.set(worker, (chosen.get(worker) ?? 0) + 1);
  return {
    type: 'starts',
    isNear: nearPlace.isNear(request, [...chosen.keys()]),
    workers: [...chosen].map(([{info}, tasks]) => ({
      worker: info.id,
      rack: info.rack,
      tasks,
    })),
    waiting: waitingIndexes.length,
  };
}

/** Reservations in the copy change neither the workers nor the quotas. */
function copyRegistry(
  registry: workerRegistry.WorkerRegistry,
): workerRegistry.WorkerRegistry {
  const copy = workerRegistry.createWorkerRegistry();
  for (const [id, {info, free, isUsable, isCurrent}] of registry.workers) {
    copy.put(info).free = free;
    copy.setUsable(id, isUsable);
    copy.setCurrent(id, isCurrent);
  }
  return {...copy, quotas: registry.quotas};
}
