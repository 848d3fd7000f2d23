/**
 * Chooses the entry that appends the calls of callers to the store. It combines
 * them in batches: the store handles the appends of a log one at a time, so
 * while it is slow the appends of many entries would make a queue that it
 * refuses. That entry is the holder, which knows its own records at once, as
 * long as they take a small part of its processor. Beyond that, and while the
 * store is quick, it is the strongest other entry of the failure domain.
 */
import * as standbyChoice from './standby_choice.js';

/** Processor time that a forwarded call takes, on one core; milliseconds. */
const FORWARDED_CALL_MS = 1;
/** Share of the holder's processor that forwarded calls may take. */
const MAX_HOLDER_SHARE = 0.2;
const MS_PER_SECOND = 1_000;

/** What the choice depends on. */
export interface AppenderChoice {
  readonly self: standbyChoice.StandbyCandidate;
  /** Peers that aren't avoided. */
  readonly peers: Iterable<standbyChoice.StandbyCandidate>;
  /** Instance that holds the cell; undefined if there is none. */
  readonly holder: string | undefined;
  readonly isStoreQuick: boolean;
  /** Submissions to the whole cell. */
  readonly submissionsPerSecond: number;
}

/** Returns the instance; undefined if this entry appends by itself. */
export function chooseAppender(choice: AppenderChoice): string | undefined {
  const {self, holder, isStoreQuick} = choice;
  const peers = [...choice.peers];
  const appender =
    isStoreQuick && !canCombine({...choice, peers})
      ? strongestOf(self, peers, holder)
      : holder;
  return appender === self.instance ? undefined : appender;
}

/**
 * Returns the instance that appends in place of a holder that takes no calls of
 * this entry; undefined if this entry appends by itself.
 */
export function chooseSubstitute(
  self: standbyChoice.StandbyCandidate,
  peers: Iterable<standbyChoice.StandbyCandidate>,
  holder: string,
): string | undefined {
  const chosen = strongestOf(self, [...peers], holder);
  return chosen === self.instance ? undefined : chosen;
}

/** Whether the holder can combine the appends of the whole cell. */
function canCombine({
  self,
  peers,
  holder,
  submissionsPerSecond,
}: AppenderChoice): boolean {
  const candidate = [self, ...peers].find(({instance}) => instance === holder);
  // Nothing is known of a holder that is avoided; it isn't called either.
  if (candidate === undefined) return true;
  const neededCores =
    (submissionsPerSecond * FORWARDED_CALL_MS) / MS_PER_SECOND;
  return neededCores <= candidate.cores * MAX_HOLDER_SHARE;
}

function strongestOf(
  self: standbyChoice.StandbyCandidate,
  peers: readonly standbyChoice.StandbyCandidate[],
  holder: string | undefined,
): string {
  let chosen = self;
  for (const peer of peers) {
    if (peer.domain !== self.domain || peer.instance === holder) continue;
    const isBetter =
      chosen.instance === holder || standbyChoice.outranks(peer, chosen);
    if (isBetter) chosen = peer;
  }
  return chosen.instance;
}
