import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import * as schedulerWorlds from '../__fixtures__/scheduler_world.js';
import * as worlds from '../__fixtures__/unreliable_world.js';
import type * as activeJob from '../active_job.js';
import * as activeJobs from '../active_job.js';
import * as gangReservation from '../gang_reservation.js';
import * as jobOrder from '../job_order.js';
import type * as jobRequest from '../job_request.js';
import * as workerHealth from '../worker_health.js';
import type * as workerRegistry from '../worker_registry.js';

const {test} = nodeTest;
const ADVICE = {callMs: 10, perWorkerMs: 1, validMs: 1_500};
/** More steps than one cycle tries. */
const CROWD = 34;

const NUM_RUNS = 400;

const nat = fc.nat({max: 1_000});
const kinds = <Kind extends string>(type: Kind) => ({type: fc.constant(type)});

const arbitraryStep = fc.record({
  taskCount: fc.integer({min: 1, max: 6}),
  cores: fc.integer({min: 1, max: 4}),
  gang: fc.boolean(),
  sameRack: fc.boolean(),
  requiredLabel: fc.constantFrom(undefined, undefined, undefined, 'large'),
  preferredRack: fc.constantFrom(undefined, undefined, 'r1'),
  maxPerWorker: fc.constantFrom(undefined, undefined, 1, 2),
  speculative: fc.constantFrom(false, false, false, true),
  longRunning: fc.constantFrom(false, false, false, true),
  usesSpareCpu: fc.constantFrom(false, false, false, false, true),
});

const arbitraryAction = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      ...kinds('submit'),
      steps: fc.array(arbitraryStep, {minLength: 1, maxLength: 2}),
      priority: fc.nat({max: 2}),
      slackFactor: fc.constantFrom(1, 2, 50),
      advised: fc.boolean(),
    }),
  },
  {weight: 1, arbitrary: fc.record({...kinds('crowd'), step: arbitraryStep})},
  {weight: 9, arbitrary: fc.record(kinds('decide'))},
  {
    weight: 9,
    arbitrary: fc.record({
      ...kinds('start'),
      pick: nat,
      count: fc.integer({min: 1, max: 6}),
      fate: fc.constantFrom<worlds.StartFate[]>(
        'started',
        'started',
        'started',
        'started',
        'unanswered',
        'late',
        'bad_ticket',
        'superseded',
        'no_room',
        'unhealthy',
        'other',
      ),
    }),
  },
  {weight: 2, arbitrary: fc.record({...kinds('late'), pick: nat})},
  {
    weight: 5,
    arbitrary: fc.record({
      ...kinds('stop'),
      pick: nat,
      slow: fc.boolean(),
      answered: fc.boolean(),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({...kinds('ask'), worker: nat, now: fc.boolean()}),
  },
  {weight: 6, arbitrary: fc.record({...kinds('deliver'), pick: nat})},
  {weight: 4, arbitrary: fc.record(kinds('write'))},
  {
    weight: 5,
    arbitrary: fc.record({
      ...kinds('advice'),
      pick: nat,
      answer: fc.constantFrom('none', 'all', 'odd', 'even', 'nobody'),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      ...kinds('end'),
      worker: nat,
      pick: nat,
      how: fc.constantFrom(
        'done' as const,
        'failed' as const,
        'lapsed' as const,
        'broken' as const,
        'alone' as const,
        'vanished' as const,
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({...kinds('cut'), worker: nat, cut: fc.boolean()}),
  },
  {
    weight: 3,
    arbitrary: fc.record({...kinds('drain'), worker: nat, on: fc.boolean()}),
  },
  {weight: 1, arbitrary: fc.record({...kinds('evacuate'), worker: nat})},
  {weight: 1, arbitrary: fc.record({...kinds('leasePassed'), worker: nat})},
  {weight: 1, arbitrary: fc.record({...kinds('gone'), worker: nat})},
  {weight: 1, arbitrary: fc.record({...kinds('die'), worker: nat})},
  {
    weight: 1,
    arbitrary: fc.record({
      ...kinds('join'),
      rack: fc.constantFrom('r1', 'r2'),
      large: fc.boolean(),
    }),
  },
  {weight: 1, arbitrary: fc.record({...kinds('cancel'), pick: nat})},
  {weight: 1, arbitrary: fc.record(kinds('policies'))},
  {weight: 1, arbitrary: fc.record(kinds('takeOver'))},
  {
    weight: 3,
    arbitrary: fc.record({
      ...kinds('wait'),
      spanMs: fc.integer({min: 1, max: 3_000}),
    }),
  },
  {weight: 3, arbitrary: fc.record(kinds('settle'))},
);

type Action =
  typeof arbitraryAction extends fc.Arbitrary<infer One> ? One : never;
type DrawnStep =
  typeof arbitraryStep extends fc.Arbitrary<infer One> ? One : never;

function requestOf(
  {cores, ...fields}: DrawnStep,
  after: number[],
): jobRequest.StepRequest {
  const size = {
    cpuMillis: cores * 1_000,
    memoryMb: 25 * cores,
    accelerators: 0,
  };
  return schedulerWorlds.step({...fields, size, after});
}

function act(world: worlds.UnreliableWorld, action: Action): void {
  const living = world.workers.filter((worker) => worker.alive);
  const workerOf = (pick: number) => world.pickOf(living, pick);
  switch (action.type) {
    case 'submit': {
      const steps = action.steps.map((step, nth) =>
        requestOf(step, nth === 0 ? [] : [nth - 1]),
      );
      const {priority, slackFactor, advised} = action;
      const advice = advised ? ADVICE : undefined;
      world.submit(steps, {priority, slackFactor, advice});
      return;
    }
    case 'crowd':
      for (let nth = 0; nth < CROWD; nth++) {
        world.submit([requestOf(action.step, [])]);
      }
      return;
    case 'decide':
      world.decide();
      return;
    case 'start':
      for (let nth = 0; nth < action.count; nth++) {
        const start = world.pickOf(world.starts, action.pick);
        const fate = nth === 0 ? action.fate : 'started';
        if (start !== undefined) world.answerStart(start, fate);
      }
      return;
    case 'late': {
      const start = world.pickOf(world.late, action.pick);
      if (start !== undefined) world.deliverLate(start);
      return;
    }
    case 'stop': {
      const run = world.pickOf(world.stops, action.pick);
      if (run !== undefined) world.answerStop(run, action);
      return;
    }
    case 'ask': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.ask(worker, action.now);
      return;
    }
    case 'deliver': {
      const report = world.pickOf(world.reports, action.pick);
      if (report !== undefined) world.deliver(report);
      return;
    }
    case 'write':
      world.confirmWrite();
      return;
    case 'advice': {
      const wish = world.pickOf(world.wishes, action.pick);
      if (wish === undefined) return;
      const {answer} = action;
      if (answer === 'none') {
        world.answerAdvice(wish, 'none');
        return;
      }
      world.answerAdvice(wish, (_worker, nth) => {
        if (answer === 'all') return true;
        return answer !== 'nobody' && nth % 2 === (answer === 'odd' ? 1 : 0);
      });
      return;
    }
    case 'end': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      const run = world.pickOf([...worker.runs.values()], action.pick);
      if (run === undefined) return;
      if (action.how !== 'vanished') world.endRun(worker, run, action.how);
      else worker.runs.delete(`${run.taskId}#${run.attempt}`);
      return;
    }
    case 'cut': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      if (action.cut) world.cutOff(worker);
      else worker.cut = false;
      return;
    }
    case 'drain': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      worker.info = {...worker.info, draining: action.on};
      world.list(worker);
      return;
    }
    case 'evacuate': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.scheduler.evacuate(worker.id);
      return;
    }
    case 'leasePassed': {
      const worker = workerOf(action.worker);
      if (worker?.cut === true) world.leasePassed(worker);
      return;
    }
    case 'gone': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.gone(worker);
      return;
    }
    case 'die': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.die(worker);
      return;
    }
    case 'join':
      world.addWorker({
        rack: types.ids.brand<types.ids.RackId>(action.rack),
        labels: action.large ? ['large'] : [],
      });
      return;
    case 'cancel': {
      const job = world.pickOf(world.jobs, action.pick);
      if (job !== undefined) world.cancel(job.id);
      return;
    }
    case 'policies':
      world.scheduler.updatePolicies(() => undefined);
      return;
    case 'takeOver':
      world.takeOver();
      return;
    case 'wait':
      world.elapse(action.spanMs);
      return;
    case 'settle':
      check(world);
      return;
  }
}

function stepsOf(world: worlds.UnreliableWorld): activeJob.StepRun[] {
  const found: activeJob.StepRun[] = [];
  for (const job of world.scheduler.jobs.values()) {
    assert.equal(job.heldBack, false, `${job.id} is held back`);
    for (const {steps} of job.openOccurrences.values()) found.push(...steps);
  }
  return found;
}

/** Each open task is in line or runs; a gang's are all the one or the other. */
function checkTasks(stepRun: activeJob.StepRun): void {
  const {
    id,
    request,
    state,
    waitingIndexes: waiting,
    attempts: runs,
    done,
  } = stepRun;
  if (state !== 'open') return;
  const {gang, taskCount} = request;
  for (const run of runs) {
    assert.equal(run.phase, 'running', `a run of ${id}`);
    assert.notEqual(run.confirmedAt, undefined);
  }
  assert.equal(new Set(waiting).size, waiting.length);
  if (gang) {
    const found = `${runs.size} run and ${waiting.length} wait`;
    assert.equal(runs.size + waiting.length, taskCount, `${id}: ${found}`);
    assert.ok(runs.size === 0 || waiting.length === 0, `${id}: ${found}`);
    const attempts = new Set([...runs].map((run) => run.number));
    assert.ok(attempts.size <= 1, `${id}: attempts ${[...attempts].join()}`);
    return;
  }
  const running = new Set([...runs].map((run) => run.task!.index));
  for (let index = 0; index < taskCount; index++) {
    const held =
      done.has(index) || running.has(index) || waiting.includes(index);
    assert.ok(held, `${id}.${index} neither waits nor runs nor is done`);
  }
}

/** What the scheduler believes of the workers is what is so. */
function checkWorkers(world: worlds.UnreliableWorld): void {
  for (const worker of world.workers) {
    const booked = world.scheduler.workerRegistry.workers.get(worker.id);
    if (booked === undefined) continue;
    const used = world.usedOf(worker);
    const free = types.resources.subtract(worker.info.capacity, used);
    assert.deepEqual(booked.free, free, worker.id);
    assert.ok(types.resources.fits(types.resources.NO_RESOURCES, free));
  }
}

/** The next task of a step, or its whole gang, has room on these workers. */
function fitsOn(
  stepRun: activeJob.StepRun,
  workers: readonly workerRegistry.BookedWorker[],
): boolean {
  const {gang, taskCount, size, usesSpareCpu, maxPerWorker} = stepRun.request;
  const needed = usesSpareCpu ? {...size, cpuMillis: 0} : size;
  let found = 0;
  for (const {info, free} of workers) {
    let here = 0;
    for (const run of stepRun.attempts) if (run.workerId === info.id) here++;
    let left = free;
    while (types.resources.fits(needed, left) && found < taskCount) {
      if (here++ >= (maxPerWorker ?? Infinity)) break;
      left = types.resources.subtract(left, needed);
      found++;
    }
  }
  return found >= (gang ? taskCount : 1);
}

function isOpenTo(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
): boolean {
  const {info, isUsable: usable} = worker;
  const {request, job, advice} = stepRun;
  if (!usable || info.draining || info.pool !== job.policy.pool) return false;
  const label = request.requiredLabel;
  if (label !== undefined && !info.labels.includes(label)) return false;
  if (job.policy.advice === undefined) return true;
  // Of the others the adviser can be asked, and approves them.
  return !advice.refused.has(info.id);
}

/** No step waits for which there is room that isn't kept for another. */
function checkWaiting(world: worlds.UnreliableWorld): void {
  const {workerRegistry: book} = world.scheduler;
  const health = workerHealth.createWorkerHealth(() => book.workers.size);
  const hold = gangReservation.createGangReservation({
    book,
    health,
    now: world.now,
  });
  const waiting = stepsOf(world).filter((one) => one.waitingIndexes.length > 0);
  assert.equal(world.scheduler.counts().waitingSteps, waiting.length);
  waiting.sort((a, b) =>
    jobOrder.compare(
      activeJobs.claimantOf(a),
      activeJobs.claimantOf(b),
      world.now,
    ),
  );
  for (const stepRun of waiting) {
    const open = [...book.workers.values()].filter(
      (worker) => !hold.isHeld(worker.info.id) && isOpenTo(stepRun, worker),
    );
    assert.equal(fitsOn(stepRun, open), false, `${stepRun.id} has room`);
    if (stepRun.request.gang) hold.holdFor(stepRun);
  }
}

/** Nothing but copies runs twice. */
function checkCopies(world: worlds.UnreliableWorld): void {
  const seen = new Set<string>();
  for (const worker of world.workers) {
    for (const {taskId} of worker.runs.values()) {
      const [jobId, , step] = taskId.split('.');
      const job = world.jobs.find((one) => one.id === jobId)!;
      if (job.request.steps[Number(step)]!.speculative) continue;
      assert.ok(!seen.has(taskId), `${taskId} runs twice`);
      seen.add(taskId);
    }
  }
}

function check(world: worlds.UnreliableWorld): void {
  world.settle();
  for (const stepRun of stepsOf(world)) checkTasks(stepRun);
  checkWorkers(world);
  checkWaiting(world);
  // Has every waiting step tried, whatever has changed.
  world.scheduler.updatePolicies(() => undefined);
  assert.equal(world.decide(), 0, 'a step was not tried');
}

// Guards against work that has room and stands still, whatever was lost before.
test('nothing that could start waits once all answers are in', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 12}),
      fc.array(arbitraryAction, {maxLength: 80, size: 'max'}),
      (workers, actions) => {
        const world = worlds.createUnreliableWorld();
        for (let nth = 0; nth < workers; nth++) {
          world.addWorker({
            rack: types.ids.brand<types.ids.RackId>(`r${1 + (nth % 2)}`),
            labels: nth === 0 ? ['large'] : [],
          });
        }
        for (const action of actions) {
          act(world, action);
          checkCopies(world);
        }
        check(world);
      },
    ),
    {numRuns: NUM_RUNS},
  );
});
