/**
 * Seeded work shaped on the two users of the brief: heavy-tailed gaps between
 * arrivals, sizes and run times, and declared figures that are off by up to a
 * factor of 4 either way.
 */
import * as types from '@gypsumwall/types';
import * as distributions from './distributions.js';
import type * as profiles from './profiles.js';

/** What a task really does; the policy only learns of it by reports. */
export interface ActualTask {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** At full speed. */
  readonly runMs: number;
}

/** A job on its way. */
export interface Arrival {
  readonly at: number;
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly className: string;
  readonly tasks: readonly ActualTask[];
}

/**
 * How teams declare: what they really need, up to a factor of 4 off either
 * way, or up to 4 times too much.
 */
export type DeclarationAccuracy = 'right' | 'off' | 'too_large';

/** What to make. */
export interface WorkloadOptions {
  readonly profile: profiles.Profile;
  readonly seed: number;
  readonly horizonMs: number;
  /** True processor use over capacity. */
  readonly load: number;
  readonly accuracy: DeclarationAccuracy;
}

/** Each class of work has so many job classes, each off in its own way. */
const JOB_CLASS_COUNT = 5;
/** Declared figures are off by up to this factor either way. */
const MAX_DECLARED_FACTOR = 4;
/** Spread of the gaps between arrivals; their standard deviation is 2.9 times the mean. */
const GAP_SIGMA = 1.5;

/** Makes all arrivals of a run, in order of time. */
export function makeWorkload(options: WorkloadOptions): Arrival[] {
  const arrivals: Arrival[] = [];
  options.profile.classes.forEach((workClass, position) => {
    const random = types.random.createRandom(options.seed * 1000 + position);
    arrivals.push(...makeArrivalsOfClass(options, workClass, random));
  });
  return arrivals.sort(
    (remainingMillis, right) => remainingMillis.at - right.at,
  );
}

/** How a job class declares, against the truth. */
interface DeclarationBias {
  readonly cpu: number;
  readonly memory: number;
  readonly run: number;
}

function makeArrivalsOfClass(
  options: WorkloadOptions,
  workClass: profiles.WorkClass,
  random: types.random.Random,
): Arrival[] {
  const {profile, load, horizonMs} = options;
  const biases = Array.from({length: JOB_CLASS_COUNT}, () =>
    makeBias(random, options.accuracy),
  );
  const capacityMillis = profile.workers * profile.capacity.cpuMillis;
  const offeredCores = (capacityMillis * load * workClass.loadShare) / 1000;
  if (workClass.kind === 'service') {
    return makeServiceArrivals(options, workClass, random, biases);
  }
  const targetCoreMs = offeredCores * horizonMs;
  const drawn: Array<{at: number; tasks: ActualTask[]}> = [];
  let drawnCoreMs = 0;
  let at = 0;
  while (drawnCoreMs < targetCoreMs) {
    at += distributions.drawLogNormal(random, 1, GAP_SIGMA);
    const tasks = drawTasks(workClass, random);
    drawnCoreMs += coreMsOf(tasks);
    drawn.push({at, tasks});
  }
  // Heavy tails leave no run at its nominal load; the gaps are stretched so
  // that the work offered is the load asked for.
  const stretchFactor = horizonMs / at;
  return drawn.map(({at: drawnAt, tasks}, n) => {
    const arrivesAt = drawnAt * stretchFactor;
    const classIndex = random.integer(0, JOB_CLASS_COUNT - 1);
    const bias = biases[classIndex]!;
    return {
      at: arrivesAt,
      jobId: types.ids.brand(`${profile.name}.${workClass.name}-${n}`),
      className: workClass.name,
      tasks,
      spec: makeSpec(workClass, random, tasks, bias, classIndex, arrivesAt),
    };
  });
}

/** Services are there from the start and stay. */
function makeServiceArrivals(
  options: WorkloadOptions,
  workClass: profiles.WorkClass,
  random: types.random.Random,
  biases: readonly DeclarationBias[],
): Arrival[] {
  const {profile, load} = options;
  let left =
    profile.workers * profile.capacity.cpuMillis * load * workClass.loadShare;
  const arrivals: Arrival[] = [];
  while (left > 0) {
    const classIndex = arrivals.length % JOB_CLASS_COUNT;
    const task = drawTasks(workClass, random)[0]!;
    const tasks = Array.from({length: workClass.tasks.median}, () => ({
      ...task,
      runMs: options.horizonMs * 2,
    }));
    const spec = makeSpec(
      workClass,
      random,
      tasks,
      biases[classIndex]!,
      classIndex,
      0,
    );
    const jobId = `${profile.name}.${workClass.name}-${arrivals.length}`;
    arrivals.push({
      at: 0,
      jobId: types.ids.brand(jobId),
      className: workClass.name,
      tasks,
      spec,
    });
    left -= task.cpuMillis * tasks.length;
  }
  return arrivals;
}

function makeBias(
  random: types.random.Random,
  accuracy: DeclarationAccuracy,
): DeclarationBias {
  const factor = () => MAX_DECLARED_FACTOR ** drawExponent(random, accuracy);
  return {cpu: factor(), memory: factor(), run: factor()};
}

function drawExponent(
  random: types.random.Random,
  accuracy: DeclarationAccuracy,
): number {
  switch (accuracy) {
    case 'right':
      return 0;
    case 'off':
      return random.next() * 2 - 1;
    case 'too_large':
      return random.next();
  }
}

/** Processor time of a job, in core milliseconds. */
function coreMsOf(tasks: readonly ActualTask[]): number {
  let sum = 0;
  for (const task of tasks) sum += (task.cpuMillis * task.runMs) / 1000;
  return sum;
}

function drawTasks(
  workClass: profiles.WorkClass,
  random: types.random.Random,
): ActualTask[] {
  const {tasks, cores, memoryPerCoreMb, runMs} = workClass;
  const count = Math.round(distributions.drawHeavyTailed(random, tasks));
  const jobCores = distributions.drawHeavyTailed(random, cores);
  const jobRunMs = distributions.drawHeavyTailed(random, runMs);
  return Array.from({length: count}, () => {
    // Tasks of one job are alike, but not the same.
    const cpuMillis = Math.max(
      20,
      jobCores * 1000 * distributions.drawJitter(random),
    );
    const memoryMb =
      (cpuMillis / 1000) * memoryPerCoreMb * distributions.drawJitter(random);
    return {
      cpuMillis,
      memoryMb,
      runMs: jobRunMs * distributions.drawJitter(random),
    };
  });
}

function makeSpec(
  workClass: profiles.WorkClass,
  random: types.random.Random,
  tasks: readonly ActualTask[],
  bias: DeclarationBias,
  classIndex: number,
  at: number,
): types.job.JobSpec {
  const first = tasks[0]!;
  const runMs = Math.max(...tasks.map((task) => task.runMs));
  const {deadlineFactor: slackRuns} = workClass;
  const deadline =
    slackRuns === undefined
      ? undefined
      : at + runMs * distributions.drawHeavyTailed(random, slackRuns);
  return {
    team: types.ids.brand(workClass.team),
    shape:
      workClass.kind === 'service'
        ? {kind: 'service', replicas: tasks.length}
        : {kind: workClass.kind, tasks: tasks.length},
    jobClass: `${workClass.name}-${classIndex}`,
    urgency: workClass.urgency,
    size: {
      cpuMillis: Math.ceil(first.cpuMillis * bias.cpu),
      memoryMb: Math.ceil(first.memoryMb * bias.memory),
      accelerators: 0,
    },
    estimateMs: Math.ceil(first.runMs * bias.run),
    deadline: deadline as types.clock.WallMs | undefined,
    work: {command: workClass.name, args: {}},
  };
}
