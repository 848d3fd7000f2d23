/** Counts the calls of one process and their bytes by the kind of server. */

/** Totals of one kind of server since the start of the process. */
export interface TrafficTotals {
  readonly calls: number;
  readonly failedCalls: number;
  /** Bytes of paths and bodies, without headers. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** A call that has ended. */
export interface EndedCall {
  /** Dotted name of the call; the part before the dot is the kind of server. */
  readonly step: string;
  readonly sentBytes: number;
  /** Undefined if the call failed. */
  readonly receivedBytes: number | undefined;
}

/** Counters of calls. */
export interface TrafficMeter {
  record(call: EndedCall): void;
  totals(): ReadonlyMap<string, TrafficTotals>;
}

const NONE: TrafficTotals = {
  calls: 0,
  failedCalls: 0,
  sentBytes: 0,
  receivedBytes: 0,
};

/** Creates counters at zero. */
export function createTrafficMeter(): TrafficMeter {
  const totals = new Map<string, TrafficTotals>();
  return {
    record({step, sentBytes, receivedBytes}) {
      const kind = step.split('.', 1)[0]!;
      const before = totals.get(kind) ?? NONE;
      totals.set(kind, {
        calls: before.calls + 1,
        failedCalls: before.failedCalls + (receivedBytes === undefined ? 1 : 0),
        sentBytes: before.sentBytes + sentBytes,
        receivedBytes: before.receivedBytes + (receivedBytes ?? 0),
      });
    },
    totals: () => totals,
  };
}
