/** Rates of work by key, as moving means over spans of some length. */

/** Part of the earlier spans in the mean when another is added. */
const RETAINED_SHARE = 0.6;

/** Amounts of work in a millisecond. */
export interface WorkRates {
  /** Adds an amount to the current span. */
  add(key: string, amount: number): void;
  /** Ends a span of this length in milliseconds. */
  endSpan(spanMs: number): void;
  /** Undefined before the end of the first span with an amount. */
  perMs(key: string): number | undefined;
}

/** Creates rates without amounts. */
export function createWorkRates(): WorkRates {
  let current = new Map<string, number>();
  let means = new Map<string, number>();
  let weightMs = 0;

  return {
    add(key, amount) {
      current.set(key, (current.get(key) ?? 0) + amount);
    },
    endSpan(spanMs) {
      const retainedMs = weightMs * RETAINED_SHARE;
      weightMs = retainedMs + spanMs;
      const next = new Map<string, number>();
      for (const key of new Set([...means.keys(), ...current.keys()])) {
        const earlier = (means.get(key) ?? 0) * retainedMs;
        next.set(key, (earlier + (current.get(key) ?? 0)) / weightMs);
      }
      means = next;
      current = new Map();
    },
    perMs: (key) => means.get(key),
  };
}
