/**
 * The envelope around every record in the log. The version in the envelope lets
 * an entry of an older release recognise records of a newer release; the entry
 * skips and logs such records.
 */

/** Newest record version that this code can read. */
export const RECORD_VERSION = 1;

/** Body of a record. Stored as JSON; the field names must stay. */
export type Envelope =
  | {readonly type: 'record'; readonly v: number; readonly record: unknown}
  /**
   * Carries no data. It fences the earlier sequences of its producer: records
   * of that producer with a lower sequence that arrive later are void (see
   * `producer_sequences.ts`).
   */
  | {readonly type: 'void'; readonly v: number}
  | {
      readonly type: 'snapshot';
      readonly v: number;
      /** The snapshot covers all records below this offset. */
      readonly nextOffset: number;
      /** Index of this part of the text, from 0, and the number of parts. */
      readonly part: number;
      readonly parts: number;
      readonly text: string;
    };

/** A decoded body, or the reason why it can't be decoded. */
export type ReadEnvelope =
  | {readonly type: 'known'; readonly envelope: Envelope}
  | {readonly type: 'newer'; readonly version: number}
  | {readonly type: 'malformed'; readonly message: string};

/** Encodes a record that readers of the stream apply to their state. */
export function encodeRecord(record: object): string {
  return encode({type: 'record', v: RECORD_VERSION, record});
}

/** Encodes any envelope. */
export function encode(envelope: Envelope): string {
  return JSON.stringify(envelope);
}

/** Decodes a body. Never throws, because the log may contain anything. */
export function decode(body: string): ReadEnvelope {
  let parsed: Partial<Envelope> | null;
  try {
    parsed = JSON.parse(body) as Partial<Envelope> | null;
  } catch (thrown) {
    return {type: 'malformed', message: String(thrown)};
  }
  const version = parsed?.v;
  if (typeof version !== 'number') {
    return {type: 'malformed', message: 'no version "v" in the envelope'};
  }
  if (version > RECORD_VERSION) return {type: 'newer', version};
  return {type: 'known', envelope: parsed as Envelope};
}
