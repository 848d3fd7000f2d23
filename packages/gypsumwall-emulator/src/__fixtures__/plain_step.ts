/** A step with one small task; `fields` override its defaults. */
import type * as jobCatalog from '../model/job_catalog.js';

export function createPlainStep(
  overrides: Partial<jobCatalog.StepSpec> = {},
): jobCatalog.StepSpec {
  return {
    taskCount: 1,
    size: {cpuMillis: 1_000, memoryMb: 100, accelerators: 0},
    workMs: 1_000,
    after: [],
    gang: false,
    lasting: false,
    savesProgress: false,
    ...overrides,
  };
}
