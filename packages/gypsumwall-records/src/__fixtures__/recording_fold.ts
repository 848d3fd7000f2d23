/** A fold that keeps what it was given, in order. */
import type * as streamFold from '../stream_fold.js';

/** The fold and what it has taken. */
export interface RecordingFold extends streamFold.StreamFold {
  readonly taken: string[];
}

/** Makes an empty one. */
export function createRecordingFold(): RecordingFold {
  const taken: string[] = [];
  return {
    taken,
    apply: (_offset, record) => {
      taken.push((record as {name: string}).name);
    },
    snapshot: () => JSON.stringify(taken),
    restore: (text) => {
      taken.splice(0, taken.length, ...(JSON.parse(text) as string[]));
    },
  };
}
