/** A fold that keeps what it was given, in order. */
import type * as streamFold from '../stream_fold.js';

/** The fold and what it has taken. */
export interface RecordingFold extends streamFold.StreamFold {
  readonly applied: string[];
}

/** Makes an empty one. */
export function createRecordingFold(): RecordingFold {
  const applied: string[] = [];
  return {
    applied,
    apply: (_offset, record) => {
      applied.push((record as {name: string}).name);
    },
    snapshot: () => JSON.stringify(applied),
    restore: (text) => {
      applied.splice(0, applied.length, ...(JSON.parse(text) as string[]));
    },
  };
}
