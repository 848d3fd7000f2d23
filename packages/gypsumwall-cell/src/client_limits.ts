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
  /** Connections that are open at the same time. */
  readonly maxConnections: number;
  /** Time in which a whole request has to arrive, in milliseconds. */
  readonly requestTimeoutMs: number;
  /**
   * Time after which a connection with requests is closed if no bytes move on
   * it, in milliseconds: its client doesn't read.
   */
  readonly stallTimeoutMs: number;
  /** What the requests of all connections may hold together, in bytes. */
  readonly maxHeldBytes: number;
}

/** What is known of the machine. */
export interface MachineLimits {
  /** Memory of the process, in bytes; infinite if unknown. */
  readonly memoryBytes: number;
  /** Limit of the heap, in bytes. */
  readonly heapBytes: number;
  /** Descriptors of the process, among them those for files. */
  readonly descriptors: number;
}

const MAX_REQUESTS_PER_CONNECTION = 100;
const MAX_ACTIVE_REQUESTS_PER_CONNECTION = 4;
/**
 * The rest is for the state of the cell, and for what requests leave to the
 * garbage collector, which may be more than they hold.
 */
const HELD_FRACTION = 1 / 16;

/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200;
/** The rest is for the store, the workers, the peers and the operators. */
const CALLER_DESCRIPTORS_FRACTION = 1 / 2;
const MIN_CONNECTIONS = 16;
/** What an open connection takes with the headers of a request, unfinished. */
const CONNECTION_BYTES = 20_480;
const CONNECTIONS_MEMORY_FRACTION = 1 / 8;

/** A body of 1 MiB takes 4 s on a link of 2 Mbit/s. */
const REQUEST_TIMEOUT_MS = 30_000;
const STALL_TIMEOUT_MS = 30_000;

/** Derives the limits. */
export function deriveClientLimits(machine: MachineLimits): ClientLimits {
  const {memoryBytes, heapBytes, descriptors} = machine;
  const sockets = descriptors - FILE_DESCRIPTORS;
  const usableBytes = Math.min(memoryBytes, heapBytes);
  return {
    maxRequestsPerConnection: MAX_REQUESTS_PER_CONNECTION,
    maxActiveRequestsPerConnection: MAX_ACTIVE_REQUESTS_PER_CONNECTION,
    maxConnections: Math.max(
      MIN_CONNECTIONS,
      Math.floor(
        Math.min(
          sockets * CALLER_DESCRIPTORS_FRACTION,
          (usableBytes * CONNECTIONS_MEMORY_FRACTION) / CONNECTION_BYTES,
        ),
      ),
    ),
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    stallTimeoutMs: STALL_TIMEOUT_MS,
    maxHeldBytes: usableBytes * HELD_FRACTION,
  };
}
