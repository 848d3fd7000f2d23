/** Runs of tasks on workers of given speeds, for the estimate of speeds. */
import * as types from '@gypsumwall/types';
import * as learnedSpeeds from '../learned_speeds.js';
import * as workerRegistry from '../worker_registry.js';

/** A worker by its real speed, with its labels. */
export interface UnevenWorker {
  readonly speed: number;
  readonly labels?: readonly string[];
}

/** Workers, what is known of them, and their runs. */
export interface UnevenRuns {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly speeds: learnedSpeeds.LearnedSpeeds;
  readonly ids: readonly types.ids.WorkerId[];
  /** Runs steps of ten tasks on workers drawn from the first `count`. */
  runSteps(steps: number, count?: number): void;
  /** Estimates the speeds. */
  refresh(): void;
}

/**
 * Creates workers without runs. Run times differ by `spread` within a step and
 * by ten times between steps; three of a hundred take seven times as long.
 */
export function createUnevenRuns(
  workers: readonly UnevenWorker[],
  spread = 0.3,
): UnevenRuns {
  const registry = workerRegistry.createWorkerRegistry();
  const speeds = learnedSpeeds.createLearnedSpeeds();
  const random = types.random.createRandom(7);
  const ids = workers.map(({labels = []}, nth) => {
    const id = types.ids.brand<types.ids.WorkerId>(`w${nth}`);
    registry.put({
      id,
      address: '',
      domain: types.ids.brand('d1'),
      pool: 'pool',
      capacity: {cpuMillis: 16_000, memoryMb: 1_000, accelerators: 0},
      labels,
      rack: types.ids.brand('r1'),
      draining: false,
    });
    return id;
  });
  let stepCount = 0;
  let now = 0;

  /** About log-normal: three uniform draws add up to a variance of 1/4. */
  function drawSpread(): number {
    const sum = random.next() + random.next() + random.next();
    return Math.exp(2 * spread * (sum - 1.5));
  }

  return {
    registry,
    speeds,
    ids,
    runSteps(steps, count = workers.length) {
      for (let step = 0; step < steps; step++) {
        const workMs = 300 * 10 ** random.next();
        const stepRunId = `step${stepCount++}`;
        for (let task = 0; task < 10; task++) {
          const nth = Math.floor(random.next() * count);
          const tail = random.next() < 0.03 ? 7 : 1;
          const runMs = (workMs * drawSpread() * tail) / workers[nth]!.speed;
          speeds.add(stepRunId, ids[nth]!, runMs);
        }
        if (step % 20 === 0) this.refresh();
      }
      this.refresh();
    },
    refresh() {
      now += 1_000;
      speeds.refresh(registry, now as types.clock.MonotonicMs);
    },
  };
}
