/**
 * The error of every step that can fail. It carries where it arose: the step
 * and the peer, so that one log line tells what to look at.
 */

/**
 * What the failed step did to the world.
 * - `not_run`: proved to have had no effect.
 * - `unknown`: may have taken effect.
 */
export type Effect = 'not_run' | 'unknown';

/** What kind of failure it was. */
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
  /** Id or address of the other end. */
  readonly peer: string;
  readonly effect: Effect;
  readonly message: string;
  /** When another try makes sense, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** Makes a step error; the message should quote the offending value. */
export function createStepError(fields: StepError): StepError {
  return fields;
}

/** One line for logs and for people. */
export function describeError(err: StepError): string {
  return `${err.step} at ${err.peer}: ${err.message} (${err.kind}, ${err.effect})`;
}

/** The text of anything that was thrown. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
