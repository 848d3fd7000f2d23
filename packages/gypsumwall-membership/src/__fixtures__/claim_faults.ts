/** Faults of a claim world, and which of them last at a moment. */
import type * as virtualTime from './virtual_time.js';

/** A machine by its number, or by its part in the newest claim. */
export type Target = number | 'holder' | 'named' | 'spare';

/** What may go wrong, each until a moment of true time. */
export type Fault =
  | {readonly type: 'pause'; readonly machine: Target; readonly forMs: number}
  | {readonly type: 'log_down'; readonly forMs: number}
  /** Appends take effect, their answers don't arrive. */
  | {readonly type: 'answers_lost'; readonly forMs: number}
  /** Appends fail at the caller and take effect later. */
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
  /** The machine ends: nothing answers at its address any more. */
  | {readonly type: 'lose_machine'; readonly machine: Target}
  /** A new process that remembers nothing, at the same address. */
  | {readonly type: 'restart'; readonly machine: Target}
  | {readonly type: 'release'; readonly machine: Target};

/** Faults that last. */
export interface LastingFaults {
  isActive(name: string): boolean;
  extend(name: string, forMs: number): void;
}

/** Makes a world without lasting faults. */
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
