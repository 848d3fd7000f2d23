/** Faults of a claim world, and which lasting faults are active. */
import type * as virtualTime from './virtual_time.js';

/** A machine by its number, or by its role in the newest claim. */
export type Target = number | 'holder' | 'named' | 'spare';

/** A fault; `forMs` is its duration in virtual time. */
export type Fault =
  | {readonly type: 'pause'; readonly machine: Target; readonly forMs: number}
  | {readonly type: 'log_down'; readonly forMs: number}
  /** Appends take effect, but their answers are lost. */
  | {readonly type: 'answers_lost'; readonly forMs: number}
  /** Appends time out for the caller and take effect later. */
  | {readonly type: 'appends_late'; readonly forMs: number}
  | {
      readonly type: 'cut_from_log' | 'cut_from_list';
      readonly machine: Target;
      readonly forMs: number;
    }
  | {
      readonly type: 'cut_between';
      readonly machine: Target;
      readonly other: Target;
      readonly forMs: number;
    }
  /** The process ends; its address refuses connections. */
  | {readonly type: 'kill'; readonly machine: Target}
  /** The machine ends; calls to its address time out. */
  | {readonly type: 'lose_machine'; readonly machine: Target}
  /** The process is replaced by a new one without state at the same address. */
  | {readonly type: 'restart'; readonly machine: Target}
  | {readonly type: 'release'; readonly machine: Target};

/** Faults that last for some time. */
export interface LastingFaults {
  isActive(name: string): boolean;
  extend(name: string, forMs: number): void;
}

/** Creates a table without active faults. */
export function createLastingFaults(
  time: virtualTime.VirtualTime,
): LastingFaults {
  const until = new Map<string, number>();
  return {
    isActive: (name) => time.now() < (until.get(name) ?? 0),
    extend: (name, forMs) => {
      const end = time.now() + forMs;
      until.set(name, Math.max(until.get(name) ?? 0, end));
    },
  };
}
