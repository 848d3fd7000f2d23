/** Encodes snapshots of a state as records of a limited size. */
import * as envelope from './envelope.js';
import type * as producerSequences from './producer_sequences.js';
import type * as streamFold from './stream_fold.js';

/** Characters of one part; keeps records well under the log's size limit. */
const PART_LENGTH = 128 * 1024;

/** A complete snapshot. */
export interface Snapshot {
  /** The state covers all records below this offset. */
  readonly nextOffset: number;
  readonly text: string;
}

/** Stored in the log as JSON; the field names must stay. */
interface SnapshotBody {
  readonly producers: ReadonlyArray<readonly [string, number]>;
  readonly state: string;
}

/** Encodes a stream's state with its producers' sequences. */
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

/** Decodes the text of a snapshot. */
export function readText(text: string): SnapshotBody {
  return JSON.parse(text) as SnapshotBody;
}

/** Splits a snapshot into record bodies. */
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

/** Assembles snapshots from their parts as they are read. */
export interface SnapshotCollector {
  /** Returns the complete snapshot when its last part is added. */
  add(
    producer: string,
    part: Extract<envelope.Envelope, {type: 'snapshot'}>,
  ): Snapshot | undefined;
}

/** Creates an empty collector. */
export function createSnapshotCollector(): SnapshotCollector {
  const partsByName = new Map<string, string[]>();
  return {
    add: (producer, part) => {
      // Entries may write snapshots concurrently, so parts are kept per writer.
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
