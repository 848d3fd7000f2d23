/** Snapshots in the stream: one state cut into records of a bounded size. */
import * as envelope from './envelope.js';
import type * as producerSequences from './producer_sequences.js';
import type * as streamFold from './stream_fold.js';

/** Characters of one part; keeps a record well under the log's limit. */
const PART_LENGTH = 128 * 1024;

/** A whole snapshot. */
export interface Snapshot {
  /** The state covers all records below this offset. */
  readonly nextOffset: number;
  readonly text: string;
}

interface SnapshotBody {
  readonly producers: ReadonlyArray<readonly [string, number]>;
  readonly state: string;
}

/** The text of a stream's state, its producers' counts included. */
export function writeText(
  sequences: producerSequences.ProducerSequences,
  fold: streamFold.StreamFold,
): string {
  const body: SnapshotBody = {
    producers: sequences.entries(),
    state: fold.snapshot(),
  };
  return JSON.stringify(body);
}

/** The two halves of a snapshot's text. */
export function readText(text: string): SnapshotBody {
  return JSON.parse(text) as SnapshotBody;
}

/** The record bodies that carry a snapshot. */
export function toBodies(snapshot: Snapshot): string[] {
  const parts = Math.max(1, Math.ceil(snapshot.text.length / PART_LENGTH));
  return Array.from({length: parts}, (_, part) =>
    envelope.encode({
      type: 'snapshot',
      v: envelope.RECORD_VERSION,
      nextOffset: snapshot.nextOffset,
      part,
      parts,
      text: snapshot.text.slice(part * PART_LENGTH, (part + 1) * PART_LENGTH),
    }),
  );
}

/** Puts a snapshot's parts together as they are read. */
export interface SnapshotCollector {
  /** The whole snapshot, once its last part has come. */
  add(
    producer: string,
    part: Extract<envelope.Envelope, {type: 'snapshot'}>,
  ): Snapshot | undefined;
}

/** Makes an empty collector. */
export function createSnapshotCollector(): SnapshotCollector {
  const partsByName = new Map<string, string[]>();
  return {
    add: (producer, part) => {
      // Two entries may write at once; their parts are kept apart.
      const name = `${producer} ${part.nextOffset}`;
      const texts = part.part === 0 ? [] : partsByName.get(name);
      if (texts === undefined || texts.length !== part.part) return undefined;
      texts.push(part.text);
      partsByName.set(name, texts);
      if (texts.length < part.parts) return undefined;
      partsByName.delete(name);
      return {nextOffset: part.nextOffset, text: texts.join('')};
    },
  };
}
