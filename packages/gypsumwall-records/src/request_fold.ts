/**
 * The requests that may not be repeated, by team and key, folded in log order.
 * Only the first intent for a key may run. A new intent is valid only after an
 * outcome that proves that nothing ran.
 */
import * as types from '@gypsumwall/types';
import type * as requestRecords from './request_records.js';
import type * as streamFold from './stream_fold.js';

type IntentRecord = Extract<requestRecords.RequestRecord, {type: 'intent'}>;
type OutcomeRecord = Extract<requestRecords.RequestRecord, {type: 'outcome'}>;

/** State of a key. All fields but `windowEnds` are stored under their names. */
export interface KeyState {
  readonly intent: IntentRecord;
  /** Offset of the intent that may run. */
  readonly offset: number;
  /** If there is no outcome by then, the attempt's outcome is unknown. */
  readonly windowEnds: types.clock.MonotonicMs;
  outcome?: OutcomeRecord;
}

/** Keys of all requests that may not be repeated. */
export interface RequestFold extends streamFold.StreamFold {
  key(
    team: types.ids.TeamId,
    key: types.ids.IdempotencyKey,
  ): KeyState | undefined;
  /** Resolves once the key has an outcome, or at the deadline. */
  waitForOutcome(
    team: types.ids.TeamId,
    key: types.ids.IdempotencyKey,
    deadline: types.clock.MonotonicMs,
  ): Promise<void>;
  size(): number;
}

/** Beyond this number, the oldest keys are evicted. Stated in docs/API.md. */
export const MAX_KEYS = 100_000;
/**
 * Total characters of answers that are stored for repeated calls. Beyond this,
 * the oldest answers are dropped. Their keys are kept, so that a request that
 * has run never runs again.
 */
export const MAX_STORED_ANSWER_CHARS = 32 * 1024 * 1024;

/** Creates a fold without keys. */
export function createRequestFold(clock: types.clock.Clock): RequestFold {
  const keys = new Map<string, KeyState>();
  const waiters = new Map<string, Set<() => void>>();
  /** Keys whose answer is stored, in log order. */
  const answered = new Set<KeyState>();
  let answerChars = 0;

  function applyIntent(
    offset: number,
    intent: IntentRecord,
    readAt: types.clock.MonotonicMs,
  ): void {
    const name = keyName(intent.team, intent.key);
    const known = keys.get(name);
    const isFree =
      known === undefined || known.outcome?.outcome.type === 'not_run';
    if (!isFree) return;
    keys.delete(name);
    const windowEnds = types.clock.after(readAt, intent.windowMs);
    keys.set(name, {intent, offset, windowEnds});
    if (keys.size > MAX_KEYS) evictOldest();
  }

  function evictOldest(): void {
    const oldest = keys.keys().next();
    if (oldest.done === true) return;
    const state = keys.get(oldest.value);
    if (state !== undefined) dropAnswer(state);
    keys.delete(oldest.value);
  }

  function storeAnswer(state: KeyState): void {
    const chars = state.outcome?.answer?.length ?? 0;
    if (chars === 0) return;
    answered.add(state);
    answerChars += chars;
    for (const oldest of answered) {
      if (answerChars <= MAX_STORED_ANSWER_CHARS) return;
      dropAnswer(oldest);
    }
  }

  function dropAnswer(state: KeyState): void {
    if (!answered.delete(state) || state.outcome === undefined) return;
    const {answer = '', ...rest} = state.outcome;
    answerChars -= answer.length;
    state.outcome = rest;
  }

  function applyOutcome(record: OutcomeRecord): void {
    const name = keyName(record.team, record.key);
    const known = keys.get(name);
    // An outcome of another intent must not settle the key's first intent.
    if (known?.intent.requestId !== record.requestId) return;
    if (known.outcome !== undefined) return;
    known.outcome = record;
    storeAnswer(known);
    waiters.get(name)?.forEach((notify) => notify());
  }

  function apply(
    offset: number,
    record: requestRecords.RequestRecord,
    readAt: types.clock.MonotonicMs,
  ): void {
    switch (record.type) {
      case 'intent':
        applyIntent(offset, record, readAt);
        return;
      case 'outcome':
        applyOutcome(record);
        return;
    }
  }

  return {
    apply: (offset, record, readAt) =>
      apply(offset, record as requestRecords.RequestRecord, readAt),
    snapshot: () =>
      JSON.stringify(
        [...keys.values()].map(({intent, offset, outcome}) => ({
          intent,
          offset,
          outcome,
        })),
      ),
    restore: (text, readAt) => {
      keys.clear();
      answered.clear();
      answerChars = 0;
      for (const saved of JSON.parse(text) as SavedKey[]) {
        const {intent} = saved;
        const windowEnds = types.clock.after(readAt, intent.windowMs);
        const state = {...saved, windowEnds};
        keys.set(keyName(intent.team, intent.key), state);
        storeAnswer(state);
      }
      waiters.forEach((set) => set.forEach((notify) => notify()));
    },
    key: (team, key) => keys.get(keyName(team, key)),
    waitForOutcome: async (team, key, deadline) => {
      const name = keyName(team, key);
      if (keys.get(name)?.outcome !== undefined) return;
      const timer = new AbortController();
      const notify = () => timer.abort();
      const set = waiters.get(name) ?? new Set();
      waiters.set(name, set.add(notify));
      await clock.sleepUntil(deadline, timer.signal);
      set.delete(notify);
      if (set.size === 0) waiters.delete(name);
    },
    size: () => keys.size,
  };
}

type SavedKey = Omit<KeyState, 'windowEnds'>;

function keyName(
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
): string {
  return `${team} ${key}`;
}
