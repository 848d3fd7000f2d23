/**
 * The workers of earlier holders that have not answered this holder. It has
 * granted no lease there, and says so in its heartbeats: a successor then goes by
 * the leases of the holders before. Once such a worker answers, it is used as
 * soon as a heartbeat without it is stored.
 */
import type * as types from '@gypsumwall/types';
import type * as storeRecords from './store_records.js';

/** With more, the record says nothing of single workers. */
const MAX_LISTED = 32;

/** Options of the list. */
export interface UnansweredWorkersOptions {
  /** Generation of this holder. */
  readonly generation: number;
  /** The workers of earlier holders. */
  readonly workers: readonly types.ids.WorkerId[];
  /**
   * Whether a worker is used and has failed to answer. One that is only slow is
   * not listed: it would wait for a record once it answers.
   */
  readonly isSilent: (worker: types.ids.WorkerId) => boolean;
  /** Whether more than half of them have answered. */
  readonly hasMajority: () => boolean;
  /** Resolves once a heartbeat is stored that is created now. */
  readonly publish: () => Promise<void>;
}

/** The workers on which this holder has granted no lease. */
export interface UnansweredWorkers {
  /** What a heartbeat says that is created now. */
  takeover(): storeRecords.TakeoverState | undefined;
  /**
   * Called with each first answer of a worker, before it is used. Resolves once
   * leases may be granted there; to whether that took a record.
   */
  onAnswered(worker: types.ids.WorkerId): Promise<boolean>;
  /** Publishes what has changed; called in short intervals. */
  tick(): void;
  /** Lists all that have not answered from now on, as the holder hands over. */
  listAll(): void;
}

/** Creates the list of a holder that starts now. */
export function createUnansweredWorkers({
  generation,
  workers,
  isSilent,
  hasMajority,
  publish,
}: UnansweredWorkersOptions): UnansweredWorkers {
  const waiting = new Set(workers);
  const listed = new Set<types.ids.WorkerId>();
  let isListingAll = false;
  /** Whether a heartbeat says that more than half have answered. */
  let hasSaidMajority = false;

  const unanswered = () =>
    [...waiting].filter((worker) => isListingAll || isSilent(worker));

  function takeover(): storeRecords.TakeoverState | undefined {
    const silent = unanswered();
    // An empty list says nothing, and entries have read of the majority.
    const isOver = silent.length === 0 && hasSaidMajority;
    if (workers.length === 0 || isOver) return undefined;
    hasSaidMajority = hasMajority();
    const state = {generation, hasMajority: hasSaidMajority};
    if (silent.length > MAX_LISTED) return state;
    for (const worker of silent) listed.add(worker);
    return {...state, unanswered: silent};
  }

  return {
    takeover,
    async onAnswered(worker) {
      waiting.delete(worker);
      if (!listed.has(worker)) return false;
      await publish();
      // Until then, a session with its next incarnation has to wait as well.
      listed.delete(worker);
      return true;
    },
    tick() {
      const silent = unanswered();
      const isNewList =
        silent.length <= MAX_LISTED &&
        silent.some((worker) => !listed.has(worker));
      const isNewMajority = hasMajority() && !hasSaidMajority;
      if (isNewList || isNewMajority) void publish();
    },
    listAll() {
      isListingAll = true;
    },
  };
}
