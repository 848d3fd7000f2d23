/**
 * The payloads that the holder has sent on a stream. Both ends remember the
 * newest of them by number, so that the tasks of a job share one.
 */

/** Number of payloads that both ends of a stream remember. */
export const MAX_KNOWN_PAYLOADS = 64;

/** The payloads that were sent on a stream, with their numbers. */
export interface SentPayloads {
  find(payload: string): number | undefined;
  add(payload: string): number;
  /** Returns the payloads that were added since the last call. */
  takeAdded(): (readonly [number, string])[];
}

/** Creates the table of a stream on which nothing was sent. */
export function createSentPayloads(): SentPayloads {
  const numbers = new Map<string, number>();
  const byNumber = new Map<number, string>();
  let added: (readonly [number, string])[] = [];
  let count = 0;
  return {
    find: (payload) => numbers.get(payload),
    add(payload) {
      const number = count++;
      numbers.set(payload, number);
      byNumber.set(number, payload);
      added.push([number, payload]);
      const dropped = byNumber.get(number - MAX_KNOWN_PAYLOADS);
      if (dropped !== undefined) {
        byNumber.delete(number - MAX_KNOWN_PAYLOADS);
        numbers.delete(dropped);
      }
      return number;
    },
    takeAdded() {
      const taken = added;
      added = [];
      return taken;
    },
  };
}
