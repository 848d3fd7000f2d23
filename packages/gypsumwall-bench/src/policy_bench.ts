/** Compares the placement policy with the naive baseline on the same seeds. */
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as offlineSchedule from './offline_schedule.js';
import * as policyTables from './policy_tables.js';
import * as profiles from './profiles.js';
import * as virtualCell from './virtual_cell.js';
import * as workload from './workload.js';

const MINUTE_MS = 60_000;
const FAULTY_WORKER = 15;
/** In the scenario with faults, one job in this many always fails. */
const BROKEN_ONE_IN = 100;

interface Scenario {
  readonly name: string;
  readonly profile: profiles.Profile;
  readonly load: number;
  readonly accuracy: workload.DeclarationAccuracy;
  readonly hasFaults: boolean;
}

const SCENARIOS: readonly Scenario[] = [
  scenario('addis 95%', profiles.ADDIS, 0.95),
  scenario('thailand 95%', profiles.THAILAND, 0.95),
  scenario('addis 130% (backlog)', profiles.ADDIS, 1.3),
  scenario('thailand 130% (backlog)', profiles.THAILAND, 1.3),
  {
    ...scenario('thailand 95%, declared right', profiles.THAILAND, 0.95),
    accuracy: 'right',
  },
  {
    ...scenario('addis 130%, declared too large', profiles.ADDIS, 1.3),
    accuracy: 'too_large',
  },
  {...scenario('addis 80%, faults', profiles.ADDIS, 0.8), hasFaults: true},
];

function scenario(
  name: string,
  profile: profiles.Profile,
  load: number,
): Scenario {
  return {name, profile, load, accuracy: 'off', hasFaults: false};
}

const POLICIES = ['policy', 'baseline'] as const;

export const POLICY_BENCH: benchModule.BenchModule = {
  name: 'placement-policy',
  run: (options) => Promise.resolve(runAll(options)),
};

function runAll(options: benchModule.BenchOptions): benchModule.BenchReport {
  const horizonMs = (options.quick ? 3 : 6) * MINUTE_MS;
  const seeds = options.quick ? options.seeds.slice(0, 2) : options.seeds;
  const results: policyTables.ScenarioResult[] = [];
  for (const scenario of SCENARIOS) {
    const runs = seeds.flatMap((seed) =>
      POLICIES.map((policy) => runScenario(scenario, policy, seed, horizonMs)),
    );
    results.push({name: scenario.name, profile: scenario.profile, runs});
  }
  return policyTables.buildReport(results, {seeds, horizonMs});
}

function runScenario(
  scenario: Scenario,
  policy: (typeof POLICIES)[number],
  seed: number,
  horizonMs: number,
): policyTables.PolicyRun {
  const {profile, load, accuracy, hasFaults} = scenario;
  const arrivals = workload.makeWorkload({
    profile,
    seed,
    horizonMs,
    load,
    accuracy,
  });
  const brokenJobs = new Set(
    arrivals.filter((_, n) => n % BROKEN_ONE_IN === 7).map((a) => a.jobId),
  );
  const outcome = virtualCell.runCell({
    profile,
    arrivals,
    horizonMs,
    warmUpMs: horizonMs / 4,
    placer: createPlacer(policy, seed),
    faultyWorker: hasFaults ? FAULTY_WORKER : undefined,
    alwaysFails: hasFaults
      ? (arrival) => brokenJobs.has(arrival.jobId)
      : undefined,
  });
  countDeadlines(outcome, profile, horizonMs);
  return {policy, seed, measures: outcome.measures};
}

function createPlacer(
  policy: (typeof POLICIES)[number],
  seed: number,
): placement.placer.Placer {
  switch (policy) {
    case 'policy':
      return placement.createPlacer.createPlacer({
        random: types.random.createRandom(seed),
      });
    case 'baseline':
      return placement.createBaselinePlacer.createBaselinePlacer();
  }
}

function countDeadlines(
  outcome: virtualCell.CellOutcome,
  profile: profiles.Profile,
  horizonMs: number,
): void {
  const {measures, deadlineJobs} = outcome;
  const missedOffline = offlineSchedule.findMissedDeadlines(
    deadlineJobs.map((each) => each.arrival),
    profile.workers * profile.capacity.cpuMillis,
    horizonMs,
  );
  for (const {arrival, doneAt} of deadlineJobs) {
    measures.deadlineJobs += 1;
    const deadline = arrival.spec.deadline ?? Infinity;
    if (doneAt !== undefined && doneAt <= deadline) continue;
    measures.deadlinesMissed += 1;
    if (!missedOffline.has(arrival.jobId)) measures.avoidableMisses += 1;
  }
}
