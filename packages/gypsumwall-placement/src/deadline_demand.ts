/**
 * How much work is waiting for which deadline, so that a job whose deadline
 * can't be met is refused at once and not found late. Work is kept by the
 * minute of its deadline, not by job.
 */

const SLOT_MS = 60_000;
/** Deadlines further away are counted together. */
const LAST_SLOT_AHEAD = 2 * 24 * 60;
/** Share of the processors that planned work may count on. */
const USABLE_SHARE = 0.9;

/** Waiting work by deadline. */
export interface DeadlineDemand {
  /** Adds (or with a negative amount removes) work, in core milliseconds. */
  add(deadline: number, work: number): void;
  /** Whether `work` more, due by `deadline`, leaves all deadlines reachable. */
  accepts(
    deadline: number,
    work: number,
    now: number,
    cpuMillis: number,
  ): boolean;
}

/** Creates an empty plan. */
export function createDeadlineDemand(): DeadlineDemand {
  const slots = new Map<number, number>();

  return {
    add(deadline, work) {
      const slot = Math.floor(deadline / SLOT_MS);
      const sum = (slots.get(slot) ?? 0) + work;
      if (sum < 1) slots.delete(slot);
      else slots.set(slot, sum);
    },
    accepts(deadline, work, now, cpuMillis) {
      const last = Math.floor(now / SLOT_MS) + LAST_SLOT_AHEAD;
      const due = Math.min(Math.floor(deadline / SLOT_MS), last);
      let sum = work;
      for (const [slot, planned] of slots) {
        if (Math.min(slot, last) <= due) sum += planned;
      }
      const cores = cpuMillis / 1000;
      return sum <= cores * USABLE_SHARE * (deadline - now);
    },
  };
}
