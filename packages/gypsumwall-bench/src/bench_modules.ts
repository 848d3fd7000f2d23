/** All benchmarks, in the order in which they run. */
import type * as benchModule from './bench_module.js';
import * as controlBench from './control_bench.js';
import * as decisionBench from './decision_bench.js';
import * as nearBench from './near_bench.js';
import * as memoryBench from './memory_bench.js';
import * as policyBench from './policy_bench.js';
import * as routingBench from './routing_bench.js';
import * as spreadBench from './spread_bench.js';
import * as stepBench from './step_bench.js';

export const BENCH_MODULES: readonly benchModule.BenchModule[] = [
  policyBench.POLICY_BENCH,
  decisionBench.DECISION_BENCH,
  memoryBench.MEMORY_BENCH,
  routingBench.ROUTING_BENCH,
  controlBench.CONTROL_BENCH,
  stepBench.STEP_BENCH,
  nearBench.NEAR_BENCH,
  ...spreadBench.SPREAD_BENCHES,
];
