/**
 * Interface of the platform's append-only log. The wire format is in
 * docs/PLATFORM.md. The log does not remove duplicates: an append whose answer
 * was lost is resolved by reading the stream back (see `log_appender.ts`).
 */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** A record in the log. */
export interface LogRecord {
  readonly offset: number;
  /** Id of the producer that appended the record. */
  readonly producer: string;
  /** Number of the record among the records of its producer. */
  readonly sequence: number;
  readonly body: string;
}

/** One append; its records get consecutive offsets. */
export interface AppendRequest {
  readonly stream: string;
  readonly producer: string;
  /** Sequence number of the first record; each next record adds 1. */
  readonly sequence: number;
  readonly bodies: readonly string[];
}

/** Offset that the log gave to the first record of an append. */
export interface AppendAnswer {
  readonly firstOffset: number;
}

/** A page of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset at which the next read starts. */
  readonly nextOffset: number;
  /**
   * Oldest offset that the log still has. It is above the requested offset if
   * the records there were removed at the end of their retention.
   */
  readonly firstOffset: number;
  /** Offset that the next record of the stream will get. */
  readonly endOffset: number;
}

/** One read of a stream. */
export interface ReadRequest {
  readonly stream: string;
  readonly from: number;
  readonly limit: number;
  /** How long the log may wait for a record before it answers; milliseconds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Client of the platform's log. */
export interface PlatformLog {
  /** An error has the effect `unknown` unless nothing was appended for sure. */
  append(
    req: AppendRequest,
  ): Promise<result.Result<AppendAnswer, types.stepError.StepError>>;
  read(
    req: ReadRequest,
  ): Promise<result.Result<LogPage, types.stepError.StepError>>;
}
