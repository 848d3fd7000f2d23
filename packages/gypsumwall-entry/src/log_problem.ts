/** What a caller is told when the platform's log lets a call down. */
import * as types from '@gypsumwall/types';
import * as problem from './problem.js';

/** The log can't be reached: final at once, with when to come back. */
export function logUnavailable(retryAfterMs: number): problem.Problem {
  return problem.notRun(
    'log_unavailable',
    'the platform log does not answer',
    retryAfterMs,
  );
}

/** The problem that tells a failed append. */
export function ofStepError(err: types.stepError.StepError): problem.Problem {
  const detail = types.stepError.describeError(err);
  if (err.effect === 'unknown') return problem.unknownOutcome(detail);
  return problem.notRun('log_unavailable', detail, err.retryAfterMs);
}
