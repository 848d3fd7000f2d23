/** Tracks which members of each gang are running, across all workers. */
import type * as history from './history.js';

/** Callbacks of a gang to one of its members. */
export interface GangMember {
  /** Called once all members of the attempt have started. */
  onComplete(): void;
  /** Called when the attempt ends for all members together. */
  onEnd(how: 'done' | 'broken'): void;
}

/** One member's membership in its gang. */
export interface GangMembership {
  isComplete(): boolean;
  /** Marks this member's work as done; the last member ends the attempt for all. */
  finish(): void;
  /** Removes this member; if the gang was complete, the others end as `broken`. */
  leave(): void;
}

/** All gangs of the platform. */
export interface Gangs {
  join(
    stepRunId: string,
    attempt: number,
    size: number,
    member: GangMember,
  ): GangMembership;
}

interface Gang {
  readonly members: Set<GangMember>;
  readonly finished: Set<GangMember>;
  isComplete: boolean;
}

/** Creates the table. */
export function createGangs(): Gangs {
  const gangs = new Map<string, Gang>();

  function findOrCreateGang(key: string): Gang {
    const existing = gangs.get(key);
    if (existing !== undefined) return existing;
    const created = {
      members: new Set<GangMember>(),
      finished: new Set<GangMember>(),
      isComplete: false,
    };
    gangs.set(key, created);
    return created;
  }

  function endGang(
    key: string,
    gang: Gang,
    how: Extract<history.AttemptEnd, 'done' | 'broken'>,
  ): void {
    gangs.delete(key);
    const members = [...gang.members];
    gang.members.clear();
    for (const member of members) member.onEnd(how);
  }

  return {
    join(stepRunId, attempt, size, member) {
      const key = `${stepRunId} ${attempt}`;
      const gang = findOrCreateGang(key);
      gang.members.add(member);
      if (gang.members.size === size) {
        gang.isComplete = true;
        for (const each of gang.members) each.onComplete();
      }
      return {
        isComplete: () => gang.isComplete,
        finish() {
          gang.finished.add(member);
          if (gang.finished.size === size) endGang(key, gang, 'done');
        },
        leave() {
          if (!gang.members.delete(member)) return;
          if (gang.isComplete) endGang(key, gang, 'broken');
        },
      };
    },
  };
}
