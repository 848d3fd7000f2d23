/**
 * Collects the bodies of requests in segments that all bodies share. Memory of
 * a body is reused at once and not left to the garbage collector, which does
 * not see how close the process is to the limit of its machine.
 */
import * as types from '@gypsumwall/types';
import * as stringDecoder from 'node:string_decoder';
import type * as connectionLedger from './connection_ledger.js';

/** Segments that no body uses. */
export interface SegmentPool {
  take(): Buffer;
  give(segments: readonly Buffer[]): void;
}

/** The body of one request, which arrives in chunks. */
export interface BodyCollector {
  /** `discarded` means that the body was given up, by this call or before. */
  add(chunk: Buffer): 'collected' | 'too_long' | 'discarded';
  /** Returns the whole body and frees its segments. */
  take(): string;
  /** Frees the segments; chunks that follow are ignored. */
  discard(): void;
}

/** Options of {@link createBodyCollector}. */
export interface BodyCollectorOptions {
  readonly pool: SegmentPool;
  readonly charge: Pick<connectionLedger.RequestCharge, 'add'>;
  /** Maximum size, in bytes. */
  readonly limit: number;
}

const SEGMENT_BYTES = 16_384;
/** A body of one chunk up to this size needs no segment. */
const MAX_SINGLE_CHUNK_BYTES = 4_096;

/**
 * Charged for each chunk, whatever its size. Chunks cost processor time: a few
 * bodies in chunks of one byte would hold little and block the event loop for
 * seconds. A body of 256 KiB in such chunks is charged 4 MiB.
 */
const CHUNK_CHARGE_BYTES = 16;
const CHUNKS_PER_CHARGE = 256;

/** Creates a pool without segments. It keeps each segment that it created. */
export function createSegmentPool(): SegmentPool {
  const free: Buffer[] = [];
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES),
    give(segments) {
      types.lists.append(free, segments);
    },
  };
}

/** Creates a collector for one body. */
export function createBodyCollector({
  pool,
  charge,
  limit,
}: BodyCollectorOptions): BodyCollector {
  let single: Buffer | undefined;
  let segments: Buffer[] = [];
  /** Bytes in the segments. */
  let length = 0;
  let chunks = 0;
  let isDiscarded = false;

  function chargeChunk(): boolean {
    chunks++;
    if (chunks % CHUNKS_PER_CHARGE !== 0) return true;
    return charge.add(CHUNK_CHARGE_BYTES * CHUNKS_PER_CHARGE);
  }

  function copy(chunk: Buffer): boolean {
    for (let offset = 0; offset < chunk.length;) {
      const filled = length % SEGMENT_BYTES;
      if (filled === 0) {
        if (!charge.add(SEGMENT_BYTES)) return false;
        segments.push(pool.take());
      }
      const copied = chunk.copy(segments.at(-1)!, filled, offset);
      offset += copied;
      length += copied;
    }
    return true;
  }

  function discard(): void {
    isDiscarded = true;
    single = undefined;
    pool.give(segments);
    segments = [];
  }

  return {
    add(chunk) {
      if (isDiscarded) return 'discarded';
      const received = length + (single?.length ?? 0) + chunk.length;
      if (received > limit) {
        discard();
        return 'too_long';
      }
      if (received === chunk.length && received <= MAX_SINGLE_CHUNK_BYTES) {
        single = chunk;
        return 'collected';
      }
      const first = single;
      single = undefined;
      const isHeld =
        chargeChunk() && (first === undefined || copy(first)) && copy(chunk);
      // The charge may have ended this very body, which is discarded then.
      if (isHeld && !isDiscarded) return 'collected';
      discard();
      return 'discarded';
    },
    take() {
      const text = single?.toString('utf8') ?? decode(segments, length);
      discard();
      return text;
    },
    discard,
  };
}

function decode(segments: readonly Buffer[], length: number): string {
  const decoder = new stringDecoder.StringDecoder('utf8');
  let text = '';
  for (const [nth, segment] of segments.entries()) {
    const rest = length - nth * SEGMENT_BYTES;
    text += decoder.write(segment.subarray(0, rest));
  }
  return text + decoder.end();
}
