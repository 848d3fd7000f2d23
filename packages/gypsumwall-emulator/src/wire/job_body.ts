/** Encodes a job as callers send it; 0, false and empty values are omitted. */
import type * as jobCatalog from '../model/job_catalog.js';

/** Encodes the body. */
export function encodeJob({payload, steps}: jobCatalog.JobSpec): string {
  return JSON.stringify({spec: payload, phases: steps.map(encodeStep)});
}

function encodeStep(step: jobCatalog.StepSpec) {
  const {size} = step;
  return {
    count: step.taskCount,
    cpu: size.cpuMillis || undefined,
    memMb: size.memoryMb || undefined,
    gpu: size.accelerators || undefined,
    estimateMs: step.lasting ? undefined : step.workMs,
    after: step.after.length > 0 ? step.after : undefined,
    checkpoints: step.savesProgress || undefined,
    gang: step.gang || undefined,
    longRunning: step.lasting || undefined,
  };
}
