/** Amounts of what a worker has and a task needs. */

/** Processors, memory and accelerators, in whole units. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Mebibytes. */
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Nothing at all. */
export const NO_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** The sum of two amounts. */
export function add(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** What is left when the second amount is taken from the first. */
export function subtract(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** An amount `count` times over. */
export function multiply(amount: Resources, count: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * count,
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count,
  };
}

/** Whether `need` fits into `free` on every dimension. */
export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpuMillis <= free.cpuMillis &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
  );
}
