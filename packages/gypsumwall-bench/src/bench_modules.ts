/** Every bench, in the order they run. */
import type * as benchModule from './bench_module.js';

export const BENCH_MODULES: readonly benchModule.BenchModule[] = [];
