/**
 * Simulates, on a virtual clock, a cell whose scheduling is distributed over
 * processes: either a single decider or one decider per shard, with or without
 * helpers that make its calls, and with or without a coordinator for wide
 * gangs. Load, workers and adviser are the same as in `step_cell.ts`, where one
 * holder schedules the whole cell.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as gangCoordinator from './gang_coordinator.js';
import * as jobRebalancing from './job_rebalancing.js';
import * as attemptOutcomes from './attempt_outcomes.js';
import * as shardCapacities from './shard_capacities.js';
import * as spreadLoad from './spread_load.js';
import * as spreadMeasures from './spread_measures.js';
import * as stepLoad from './step_load.js';
import * as virtualDecider from './virtual_decider.js';
import * as virtualProcess from './virtual_process.js';
import * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

const START_AT_MS = 1_000;
const DOMAINS = 4;
const WORKERS_PER_RACK = 20;
const WORKERS_PER_ENTRY = 8;
const WORKERS_PER_HELPER = 64;
const CAPACITY = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
/** A gang is wide if it needs more than this share of a shard's processors. */
const MIN_WIDE_GANG_SHARE = 0.05;
/** Share of the entries through which the coordinator calls the adviser. */
const COORDINATOR_ENTRY_SHARE = 0.4;
const ATTEMPTS_PER_DECIDER = 1_000;

/** A way to distribute the scheduling over processes. */
export interface SpreadVariant {
  readonly name: string;
  /**
   * Maximum number of workers of a shard; if absent, one decider has all
   * workers.
   */
  readonly shardSize?: number;
  /** Whether helpers make the calls to the workers. */
  readonly hasHelpers: boolean;
  /** Whether a coordinator schedules the wide gangs. */
  readonly hasCoordinator: boolean;
}

/** Results of a run. */
export interface SpreadResult extends spreadMeasures.SpreadCounts {
  readonly seconds: number;
  readonly shards: number;
  /** Processor time of the scheduling decisions of all deciders. */
  readonly decidingMs: number;
  /** Mean cores used by each decider, including its calls. */
  readonly deciderCores: readonly number[];
  /** Mean cores used by each helper. */
  readonly helperCores: readonly number[];
  readonly adviserCalls: number;
  readonly moves: number;
  readonly conflicts: number;
}

/** Parameters of a run. */
export interface SpreadOptions {
  readonly variant: SpreadVariant;
  readonly workers: number;
  readonly seconds: number;
  readonly seed: number;
  /** Factor by which the arrival rates are scaled. */
  readonly load: number;
}

/** Number of shards that a variant makes of the given number of workers. */
export function countShards(variant: SpreadVariant, workers: number): number {
  if (variant.shardSize === undefined) return 1;
  return DOMAINS * Math.ceil(workers / DOMAINS / variant.shardSize);
}

export function runSpreadCell(options: SpreadOptions): SpreadResult {
  const {variant, workers, seconds} = options;
  const timeline = virtualTimeline.createVirtualTimeline(START_AT_MS);
  const endMs = START_AT_MS + seconds * 1_000;
  const random = types.random.createRandom(options.seed + 1);
  const drawOutcome = attemptOutcomes.createDrawOutcome(random);
  const adviser = attemptOutcomes.createAdviser(random);
  const infos = createWorkerInfos(workers);
  const shardCount = countShards(variant, workers);
  const shardOfWorker = new Map(
    infos.map((info, index) => [info.id, index % shardCount]),
  );
  const shardOf = (id: types.ids.WorkerId) => shardOfWorker.get(id)!;
  const entries = Array.from(
    {length: Math.ceil(workers / WORKERS_PER_ENTRY)},
    (_, index) => `e${index}`,
  );
  const coordinatorEntries = variant.hasCoordinator
    ? entries.splice(0, Math.ceil(entries.length * COORDINATOR_ENTRY_SHARE))
    : [];
  const measures = spreadMeasures.createSpreadMeasures({
    timeline,
    endMs,
    workerDeciders: () => shards,
    jobDeciders: () => deciders,
  });
  const createProcess = () => virtualProcess.createVirtualProcess(timeline);
  const helpers = infos.map(createProcess).slice(0, countHelpers());
  const shardCalls: workerCalls.WorkerCalls[] = [];
  const shards = Array.from({length: shardCount}, (_, shardIndex) =>
    createShard(shardIndex),
  );
  const coordinator = gangCoordinator.createGangCoordinator({
    timeline,
    shards,
    shardOf,
    decider: () => coordinatorDecider!,
  });
  const coordinatorDecider = variant.hasCoordinator
    ? createCoordinatorDecider()
    : undefined;
  const deciders =
    coordinatorDecider === undefined ? shards : [...shards, coordinatorDecider];

  function countHelpers(): number {
    return variant.hasHelpers ? Math.ceil(workers / WORKERS_PER_HELPER) : 0;
  }

  function createShard(shardIndex: number): virtualDecider.VirtualDecider {
    const process = createProcess();
    const calls = variant.hasHelpers
      ? workerCalls.createHelperCalls(
          timeline,
          process,
          (id) => helpers[Number(id.split('-')[1]) % helpers.length]!,
        )
      : workerCalls.createDirectCalls(timeline, process);
    shardCalls.push(calls);
    const decider = virtualDecider.createVirtualDecider({
      timeline,
      process,
      entries: entries.filter((_, entry) => entry % shardCount === shardIndex),
      attemptBase: shardIndex * ATTEMPTS_PER_DECIDER,
      drawOutcome,
      adviser,
      callsFor: () => calls,
      onStarts: (starts) => measures.recordStarts(starts),
      onJobOver: (id) => measures.recordJobOver(id),
    });
    for (const info of infos) {
      if (shardOf(info.id) === shardIndex) addWorker(decider, info);
    }
    return decider;
  }

  /**
   * Creates the coordinator's decider; its orders and reports go through the
   * shards.
   */
  function createCoordinatorDecider(): virtualDecider.VirtualDecider {
    const process = createProcess();
    const relayedCalls = shardCalls.map((calls) =>
      workerCalls.createRelayedCalls(timeline, process, calls),
    );
    const decider = virtualDecider.createVirtualDecider({
      timeline,
      process,
      entries: coordinatorEntries,
      attemptBase: shardCount * ATTEMPTS_PER_DECIDER,
      drawOutcome,
      adviser,
      callsFor: (id) => relayedCalls[shardOf(id)]!,
      dispatchStarts: (starts) => coordinator.reserveAndStart(starts),
      onStarts: (starts) => measures.recordStarts(starts),
      onAttemptEnd: (attempt) => coordinator.releaseAttempt(attempt),
      onJobOver: (id) => measures.recordJobOver(id),
    });
    for (const info of infos) addWorker(decider, info);
    return decider;
  }

  const capacities = shardCapacities.createShardCapacities(
    timeline,
    shardCount > 1 || variant.hasCoordinator ? shards : [],
    (shardIndex) => {
      if (variant.hasCoordinator)
        coordinator.applyFreeCapacity(capacities.freeCapacityOf(shardIndex));
    },
  );
  const countMoves =
    shardCount > 1
      ? jobRebalancing.startJobRebalancing({timeline, shards, capacities})
      : () => 0;

  function deciderOf(
    id: types.ids.JobId,
    request: scheduling.jobRequest.JobRequest,
  ): virtualDecider.VirtualDecider {
    const homeShard = shards[hashOf(id) % shardCount]!;
    const gang = request.steps.find((step) => isWide(step));
    if (gang === undefined || shardCount === 1) return homeShard;
    return coordinatorDecider ?? shardWithMostSlots(gang);
  }

  function isWide(step: scheduling.jobRequest.StepRequest): boolean {
    const neededMillis = step.taskCount * step.size.cpuMillis;
    const shardMillis = (workers / shardCount) * CAPACITY.cpuMillis;
    return step.gang && neededMillis > shardMillis * MIN_WIDE_GANG_SHARE;
  }

  function shardWithMostSlots(
    gang: scheduling.jobRequest.StepRequest,
  ): virtualDecider.VirtualDecider {
    let best = 0;
    let mostSlots = -1;
    for (let shardIndex = 0; shardIndex < shardCount; shardIndex++) {
      const slots = shardCapacities.estimateSlots(
        capacities.freeCapacityOf(shardIndex),
        gang,
      );
      if (slots <= mostSlots) continue;
      best = shardIndex;
      mostSlots = slots;
    }
    return shards[best]!;
  }

  spreadLoad.startArrivals({
    timeline,
    random: types.random.createRandom(options.seed),
    load: options.load,
    accept(id, kind, request) {
      const {policy} = kind;
      const chainMs = scheduling.jobRequest.expectedChainMs(request);
      const objectiveMs = chainMs * policy.slackFactor + policy.targetMs;
      measures.recordAccepted(id, kind, request, objectiveMs);
      const acceptedAt = timeline.now();
      const progress = scheduling.jobProgress.NO_PROGRESS;
      const start = {id, request, policy, acceptedAt, progress};
      deciderOf(id, request).accept(start);
    },
  });
  timeline.runUntil(endMs);

  const coresOf = (process: virtualProcess.VirtualProcess) =>
    process.busyMs() / seconds / 1_000;
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  return {
    ...measures.counts(),
    seconds,
    shards: shardCount,
    decidingMs: sum(deciders.map(({process}) => process.measuredMs())),
    deciderCores: deciders.map(({process}) => coresOf(process)),
    helperCores: helpers.map(coresOf),
    adviserCalls: sum(deciders.map((decider) => decider.adviserCallCount())),
    moves: countMoves(),
    conflicts: coordinator.conflictCount(),
  };
}

function addWorker(
  {scheduler}: virtualDecider.VirtualDecider,
  info: scheduling.workerRegistry.WorkerInfo,
): void {
  scheduler.putWorker(info);
  scheduler.setUsable(info.id, true, 0 as types.clock.MonotonicMs);
}

function createWorkerInfos(
  count: number,
): scheduling.workerRegistry.WorkerInfo[] {
  return Array.from({length: count}, (_, index) => ({
    id: types.ids.brand(`worker-${index}`),
    address: '',
    domain: types.ids.brand(`domain-${index % DOMAINS}`),
    pool: stepLoad.POOL,
    capacity: CAPACITY,
    labels: [],
    rack: types.ids.brand(`rack-${Math.floor(index / WORKERS_PER_RACK)}`),
    draining: false,
  }));
}

/** FNV-1a hash. */
function hashOf(text: string): number {
  let value = 0x811c9dc5;
  for (const char of text) {
    value = Math.imul(value ^ char.charCodeAt(0), 0x01000193) >>> 0;
  }
  return value;
}
