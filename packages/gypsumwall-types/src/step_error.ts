/**
 * Error type of all steps that can fail. It names the step and the peer, so
 * that one log line is enough to locate the failure.
 */

/**
 * Whether a failed step had an effect.
 * - `not_run`: it is proven that it had none.
 * - `unknown`: it may have had one.
 */
export type Effect = 'not_run' | 'unknown';

/** Kind of a failure. */
export type StepErrorKind =
  | 'timeout'
  | 'unreachable'
  | 'refused'
  | 'conflict'
  | 'invalid'
  | 'truncated'
  | 'stale_epoch'
  | 'too_late'
  | 'closed';

/** A failed step. */
export interface StepError {
  readonly kind: StepErrorKind;
  /** Dotted name of the step, such as `log.append`. */
  readonly step: string;
  /** Id or address of the peer or service that the step called. */
  readonly peer: string;
  readonly effect: Effect;
  readonly message: string;
  /** Delay after which a retry makes sense, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Creates a step error; the message should quote the invalid value. */
export function createStepError(fields: StepError): StepError {
  return fields;
}

/** Formats an error as one line for logs and error messages. */
export function describeError(err: StepError): string {
  return `${err.step} at ${err.peer}: ${err.message} (${err.kind}, ${err.effect})`;
}

/** Returns the message of a thrown value of any type. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
