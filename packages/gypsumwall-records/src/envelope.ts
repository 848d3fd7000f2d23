/**
 * The envelope around every record in the log. The version lets an old entry
 * recognise what a newer one wrote: it keeps such a record and says so.
 */

/** Newest version of records that this code understands. */
export const RECORD_VERSION = 1;

/** What a record's body holds. */
export type Envelope =
  | {readonly type: 'record'; readonly v: number; readonly record: unknown}
  /**
   * Carries nothing. It closes its producer's count: records with a lower
   * sequence that come after it are void (see `stream_follower.ts`).
   */
  | {readonly type: 'void'; readonly v: number}
  | {
      readonly type: 'snapshot';
      readonly v: number;
      /** The state covers all records below this offset. */
      readonly nextOffset: number;
      /** Which part of the text this is, from 0, and of how many. */
      readonly part: number;
      readonly parts: number;
      readonly text: string;
    };

/** A body read back: an envelope, or the reason why it is none. */
export type ReadEnvelope =
  | {readonly type: 'known'; readonly envelope: Envelope}
  | {readonly type: 'newer'; readonly version: number}
  | {readonly type: 'malformed'; readonly message: string};

/** The body of a record that a fold applies. */
export function encodeRecord(record: object): string {
  return encode({type: 'record', v: RECORD_VERSION, record});
}

/** The body of any envelope. */
export function encode(envelope: Envelope): string {
  return JSON.stringify(envelope);
}

/** Reads a body; never throws, since the log may hold anything. */
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
