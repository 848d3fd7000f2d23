/**
 * Limits of what the callers of one entry may hold, derived from the machine.
 * docs/SETTINGS.md has the resulting values.
 */

/** Limits of one entry. */
export interface ClientLimits {
  /**
   * Requests that one connection may have sent without having read their
   * answers. A connection that exceeds it is closed.
   */
  readonly maxRequestsPerConnection: number;
  /** Requests of one connection that are carried out at the same time. */
  readonly maxActiveRequestsPerConnection: number;
  /** What the requests of all connections may hold together, in bytes. */
  readonly maxHeldBytes: number;
}

/** What is known of the machine. */
export interface MachineLimits {
  /** Memory of the process, in bytes; infinite if unknown. */
  readonly memoryBytes: number;
  /** Limit of the heap, in bytes. */
  readonly heapBytes: number;
}

const MAX_REQUESTS_PER_CONNECTION = 100;
const MAX_ACTIVE_REQUESTS_PER_CONNECTION = 4;
/**
 * The rest is for the state of the cell, and for what requests leave to the
 * garbage collector, which may be more than they hold.
 */
const HELD_FRACTION = 1 / 16;

/** Derives the limits. */
export function deriveClientLimits(machine: MachineLimits): ClientLimits {
  const {memoryBytes, heapBytes} = machine;
  const usableBytes = Math.min(memoryBytes, heapBytes);
  return {
    maxRequestsPerConnection: MAX_REQUESTS_PER_CONNECTION,
    maxActiveRequestsPerConnection: MAX_ACTIVE_REQUESTS_PER_CONNECTION,
    maxHeldBytes: usableBytes * HELD_FRACTION,
  };
}
