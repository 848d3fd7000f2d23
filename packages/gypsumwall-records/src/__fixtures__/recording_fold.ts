/** A fold that stores the names of the applied records, in order. */
import type * as streamFold from '../stream_fold.js';

/** The fold, with the names of the applied records. */
export interface RecordingFold extends streamFold.StreamFold {
  readonly applied: string[];
}

/** Creates an empty fold. */
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
