/**
 * The platform's append-only log, as this product needs it. The wire form is
 * in docs/PLATFORM.md. The log does not remove duplicates: an append whose
 * answer was lost is resolved by reading back (see `durable_append.ts`).
 */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** A record as the log holds it. */
export interface LogRecord {
  readonly offset: number;
  /** Who appended it, and its number in that producer's own count. */
  readonly producer: string;
  readonly sequence: number;
  readonly body: string;
}

/** One append: its records get offsets without a gap. */
export interface AppendRequest {
  readonly stream: string;
  readonly producer: string;
  /** Number of the first record; the others follow by ones. */
  readonly sequence: number;
  readonly bodies: readonly string[];
}

/** Where an append's records stand. */
export interface AppendAnswer {
  readonly firstOffset: number;
}

/** A page of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Where the next read goes on. */
  readonly nextOffset: number;
  /** Oldest offset still kept; above the asked one when retention passed. */
  readonly firstOffset: number;
  /** Offset that the stream's next record will get. */
  readonly endOffset: number;
}

/** What to read. */
export interface ReadRequest {
  readonly stream: string;
  readonly from: number;
  readonly limit: number;
  /** How long the log may hold an empty answer back. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Appends to and reads from the platform's log. */
export interface PlatformLog {
  /** Errors: effect `unknown` unless the log surely took nothing. */
  append(
    req: AppendRequest,
  ): Promise<result.Result<AppendAnswer, types.stepError.StepError>>;
  read(
    req: ReadRequest,
  ): Promise<result.Result<LogPage, types.stepError.StepError>>;
}
