/** Random actions on an unreliable world. */
import * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import type * as jobRequest from '../job_request.js';
import * as schedulerWorlds from './scheduler_world.js';
import type * as worlds from './unreliable_world.js';

const ADVICE = {callMs: 10, perWorkerMs: 1, validMs: 1_500};
/** More steps than one cycle tries. */
const CROWD = 34;

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

/** An action of a world. */
export const arbitraryAction = fc.oneof(
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
      delivery: fc.constantFrom<worlds.StartDelivery[]>(
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
    arbitrary: fc.record({
      ...kinds('requestReport'),
      worker: nat,
      now: fc.boolean(),
    }),
  },
  {weight: 6, arbitrary: fc.record({...kinds('deliverReport'), pick: nat})},
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
  {weight: 1, arbitrary: fc.record({...kinds('expireLeases'), worker: nat})},
  {weight: 1, arbitrary: fc.record({...kinds('removeWorker'), worker: nat})},
  {weight: 1, arbitrary: fc.record({...kinds('crashUnnoticed'), worker: nat})},
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

const arbitrarySubmission = fc.record({
  ...kinds('submit'),
  steps: fc.array(arbitraryStep, {minLength: 1, maxLength: 2}),
  priority: fc.nat({max: 2}),
  slackFactor: fc.constantFrom(1, 2, 50),
  advised: fc.boolean(),
});

/** An action of a world with jobs that run more than once. */
export const arbitraryScheduleAction = fc.oneof(
  {weight: 90, arbitrary: arbitraryAction},
  {
    weight: 4,
    arbitrary: fc
      // More than are open at a time, and fewer.
      .tuple(arbitrarySubmission, fc.constantFrom(3, 70))
      .map(([submission, occurrences]) => ({...submission, occurrences})),
  },
);

/** A drawn action. */
export type Action =
  typeof arbitraryScheduleAction extends fc.Arbitrary<infer One> ? One : never;
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

/** Applies an action; `check` is called for each `settle`. */
export function applyAction(
  world: worlds.UnreliableWorld,
  action: Action,
  check: (world: worlds.UnreliableWorld) => void,
): void {
  const living = world.workers.filter((worker) => worker.isAlive);
  const workerOf = (pick: number) => world.pickOf(living, pick);
  switch (action.type) {
    case 'submit': {
      const steps = action.steps.map((step, nth) =>
        requestOf(step, nth === 0 ? [] : [nth - 1]),
      );
      const {priority, slackFactor, advised} = action;
      const advice = advised ? ADVICE : undefined;
      const occurrences = 'occurrences' in action ? action.occurrences : 1;
      world.submit(steps, {priority, slackFactor, advice}, occurrences);
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
        const delivery = nth === 0 ? action.delivery : 'started';
        if (start !== undefined) world.answerStart(start, delivery);
      }
      return;
    case 'late': {
      const start = world.pickOf(world.late, action.pick);
      if (start !== undefined) world.deliverLate(start);
      return;
    }
    case 'stop': {
      const attempt = world.pickOf(world.stops, action.pick);
      if (attempt !== undefined) world.answerStop(attempt, action);
      return;
    }
    case 'requestReport': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.requestReport(worker, action.now);
      return;
    }
    case 'deliverReport': {
      const report = world.pickOf(world.reports, action.pick);
      if (report !== undefined) world.deliverReport(report);
      return;
    }
    case 'write':
      world.confirmWrite();
      return;
    case 'advice': {
      const request = world.pickOf(world.wishes, action.pick);
      if (request === undefined) return;
      const {answer} = action;
      if (answer === 'none') {
        world.answerAdvice(request, 'none');
        return;
      }
      world.answerAdvice(request, (_worker, nth) => {
        if (answer === 'all') return true;
        return answer !== 'nobody' && nth % 2 === (answer === 'odd' ? 1 : 0);
      });
      return;
    }
    case 'end': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      const attempt = world.pickOf([...worker.attempts.values()], action.pick);
      if (attempt === undefined) return;
      if (action.how !== 'vanished')
        world.endAttempt(worker, attempt, action.how);
      else worker.attempts.delete(`${attempt.taskId}#${attempt.number}`);
      return;
    }
    case 'cut': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      if (action.cut) world.disconnect(worker);
      else worker.isCutOff = false;
      return;
    }
    case 'drain': {
      const worker = workerOf(action.worker);
      if (worker === undefined) return;
      worker.info = {...worker.info, draining: action.on};
      world.listWorker(worker);
      return;
    }
    case 'evacuate': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.scheduler.evacuate(worker.id);
      return;
    }
    case 'expireLeases': {
      const worker = workerOf(action.worker);
      if (worker?.isCutOff === true) world.expireLeases(worker);
      return;
    }
    case 'removeWorker': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.removeWorker(worker);
      return;
    }
    case 'crashUnnoticed': {
      const worker = workerOf(action.worker);
      if (worker !== undefined) world.crashUnnoticed(worker);
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
      world.publishConfig();
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
