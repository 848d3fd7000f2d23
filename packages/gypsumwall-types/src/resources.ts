/** Amounts of resources, and arithmetic with them. */

/** Amounts of processors, memory and accelerators; integers. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Mebibytes. */
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Adds two amounts. */
export function add(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** Subtracts `right` from `left`; the result may be negative. */
export function subtract(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Multiplies an amount by `count`. */
export function multiply(amount: Resources, count: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * count,
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count,
  };
}

/** Whether `need` is at most `free` in each resource. */
export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpuMillis <= free.cpuMillis &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
  );
}

/**
 * How many tasks that each need `need` fit into `available`; 0 while any
 * resource is exceeded.
 */
export function tasksThatFit(need: Resources, available: Resources): number {
  return Math.min(
    countThatFits(need.cpuMillis, available.cpuMillis),
    countThatFits(need.memoryMb, available.memoryMb),
    countThatFits(need.accelerators, available.accelerators),
  );
}

function countThatFits(need: number, available: number): number {
  if (available < 0) return 0;
  return need === 0 ? Infinity : Math.floor(available / need);
}
