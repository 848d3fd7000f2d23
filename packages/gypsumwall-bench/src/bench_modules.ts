/** Every bench, in the order they run. */
import type * as benchModule from './bench_module.js';
import * as routingBench from './routing_bench.js';

export const BENCH_MODULES: readonly benchModule.BenchModule[] = [
  routingBench.ROUTING_BENCH,
];
