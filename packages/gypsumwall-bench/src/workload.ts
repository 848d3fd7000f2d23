/**
 * Generates a seeded workload modelled on two users' deployments: interarrival
 * times, sizes and run times are heavy-tailed, and declared sizes and run times
 * are too small or too large by up to a factor of 4.
 */
import * as types from '@gypsumwall/types';
import * as distributions from './distributions.js';
import type * as profiles from './profiles.js';

/**
 * Actual resource use of a task; the policy learns it only from usage reports.
 */
export interface ActualTask {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** Run time at full speed. */
  readonly runMs: number;
}

/** A job and the time at which it is submitted. */
export interface Arrival {
  readonly at: number;
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly className: string;
  readonly tasks: readonly ActualTask[];
}

/**
 * How accurately teams declare what their jobs need: exactly (`right`), too
 * little or too much by up to a factor of 4 (`off`), or up to 4 times too much
 * (`too_large`).
 */
export type DeclarationAccuracy = 'right' | 'off' | 'too_large';

/** Parameters of a generated workload. */
export interface WorkloadOptions {
  readonly profile: profiles.Profile;
  readonly seed: number;
  readonly horizonMs: number;
  /** Ratio of the processor time that is actually needed to the capacity. */
  readonly load: number;
  readonly accuracy: DeclarationAccuracy;
}

/**
 * Number of job classes per class of work; each has its own declaration bias.
 */
const JOB_CLASS_COUNT = 5;
/**
 * Largest factor by which declared values exceed or fall short of actual ones.
 */
const MAX_DECLARED_FACTOR = 4;
/**
 * Sigma of the log-normal interarrival times; their standard deviation is 2.9
 * times the mean.
 */
const GAP_SIGMA = 1.5;

/** Generates all arrivals of a run, ordered by time. */
export function makeWorkload(options: WorkloadOptions): Arrival[] {
  const arrivals: Arrival[] = [];
  options.profile.classes.forEach((workClass, position) => {
    const random = types.random.createRandom(options.seed * 1000 + position);
    arrivals.push(...makeArrivalsOfClass(options, workClass, random));
  });
  return arrivals.sort((left, right) => left.at - right.at);
}

/** Ratios of the declared to the actual values of a job class. */
interface DeclarationBias {
  readonly cpu: number;
  readonly memory: number;
  readonly runTime: number;
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
  // With heavy tails, no run meets its nominal load by itself. The interarrival
  // times are scaled so that the offered work matches the requested load.
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

/** Services start at time 0 and run beyond the end of the run. */
function makeServiceArrivals(
  options: WorkloadOptions,
  workClass: profiles.WorkClass,
  random: types.random.Random,
  biases: readonly DeclarationBias[],
): Arrival[] {
  const {profile, load} = options;
  let remainingMillis =
    profile.workers * profile.capacity.cpuMillis * load * workClass.loadShare;
  const arrivals: Arrival[] = [];
  while (remainingMillis > 0) {
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
    remainingMillis -= task.cpuMillis * tasks.length;
  }
  return arrivals;
}

function makeBias(
  random: types.random.Random,
  accuracy: DeclarationAccuracy,
): DeclarationBias {
  const factor = () => MAX_DECLARED_FACTOR ** drawExponent(random, accuracy);
  return {cpu: factor(), memory: factor(), runTime: factor()};
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

/** Processor time of all tasks of a job, in core milliseconds. */
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
    // Tasks of one job differ only by a small jitter.
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
    estimateMs: Math.ceil(first.runMs * bias.runTime),
    deadline: deadline as types.clock.WallMs | undefined,
    work: {command: workClass.name, args: {}},
  };
}
