/** Problems reported to callers when the platform's log fails. */
import * as types from '@gypsumwall/types';
import * as problem from './problem.js';

/** Refuses a call at once while the log is unreachable; it can be retried. */
export function logUnavailable(retryAfterMs: number): problem.Problem {
  return problem.notRun(
    'log_unavailable',
    'the platform log does not answer',
    retryAfterMs,
  );
}

/** Converts the error of a failed append to a problem. */
export function ofStepError(err: types.stepError.StepError): problem.Problem {
  const detail = types.stepError.describeError(err);
  if (err.effect === 'unknown') return problem.unknownOutcome(detail);
  return problem.notRun('log_unavailable', detail, err.retryAfterMs);
}
