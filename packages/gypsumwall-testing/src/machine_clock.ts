/**
 * One clock for all processes of a test. Node's high-resolution time counts
 * from the machine's boot, so times from different processes on one machine can
 * be compared; a wall clock could be adjusted during a test.
 */

/** A time on the machine's monotonic clock, in milliseconds. */
export type MachineMs = number & {readonly __unit: 'MachineMs'};

const NANOS_PER_MS = 1e6;

/** Returns the current time, in milliseconds since the machine's boot. */
export function machineNow(): MachineMs {
  return (Number(process.hrtime.bigint()) / NANOS_PER_MS) as MachineMs;
}
