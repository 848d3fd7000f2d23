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

type Counters = {-readonly [Name in keyof TrafficTotals]: TrafficTotals[Name]};

/** Creates counters at zero. */
export function createTrafficMeter(): TrafficMeter {
  const totals = new Map<string, Counters>();
  /** The counters of a step's kind, to find them without dividing its name. */
  const countersByStep = new Map<string, Counters>();

  function countersOf(step: string): Counters {
    const kind = step.split('.', 1)[0]!;
    const counters = totals.get(kind) ?? {
      calls: 0,
      failedCalls: 0,
      sentBytes: 0,
      receivedBytes: 0,
    };
    totals.set(kind, counters);
    countersByStep.set(step, counters);
    return counters;
  }

  return {
    record({step, sentBytes, receivedBytes}) {
      const counters = countersByStep.get(step) ?? countersOf(step);
      counters.calls++;
      counters.sentBytes += sentBytes;
      if (receivedBytes === undefined) counters.failedCalls++;
      else counters.receivedBytes += receivedBytes;
    },
    totals: () => totals,
  };
}
