/** Refusals and failures of calls, sent as problem+json (RFC 9457). */
import type * as fastify from 'fastify';
import type * as types from '@gypsumwall/types';

/** Why a call was refused or failed. */
export type ProblemReason =
  | types.outcome.RefusalReason
  | 'unauthenticated'
  | 'forbidden'
  | 'not_found'
  | 'conflict'
  | 'unknown_outcome';

/** A refusal or failure as it is reported to the caller. */
export interface Problem {
  readonly status: number;
  readonly reason: ProblemReason;
  readonly detail: string;
  readonly outcome: 'not_run' | 'unknown';
  readonly retryAfterMs?: number;
}

const STATUS_OF_REASON: Readonly<Record<ProblemReason, number>> = {
  overloaded: 503,
  deadline_unreachable: 503,
  deadline_passed: 504,
  over_quota: 429,
  no_upstream: 503,
  log_unavailable: 503,
  not_ready: 503,
  leaving: 503,
  key_in_use: 409,
  can_never_run: 422,
  invalid: 400,
  cancelled: 409,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  conflict: 409,
  unknown_outcome: 502,
};

/** Creates a problem for a call whose work certainly did not run. */
export function notRun(
  reason: ProblemReason,
  detail: string,
  retryAfterMs?: number,
): Problem {
  return {
    status: STATUS_OF_REASON[reason],
    reason,
    detail,
    outcome: 'not_run',
    retryAfterMs,
  };
}

/** Creates a problem for a call whose work may have run. */
export function unknownOutcome(detail: string): Problem {
  return {
    status: STATUS_OF_REASON.unknown_outcome,
    reason: 'unknown_outcome',
    detail,
    outcome: 'unknown',
  };
}

/** Converts a failed outcome to a problem. */
export function ofOutcome(
  outcome: Exclude<types.outcome.Outcome, {readonly type: 'done'}>,
): Problem {
  switch (outcome.type) {
    case 'not_run':
      return notRun(outcome.reason, outcome.message, outcome.retryAfterMs);
    case 'unknown':
      return unknownOutcome(outcome.message);
  }
}

/** Converts a problem to the body of an answer. */
export function toBody(problem: Problem): object {
  return {
    type: `urn:gypsumwall:problem:${problem.reason}`,
    title: problem.reason.replaceAll('_', ' '),
    status: problem.status,
    detail: problem.detail,
    outcome: problem.outcome,
    reason: problem.reason,
    retryAfterMs: problem.retryAfterMs,
  };
}

/** Answers a call with a problem. */
export function send(
  res: fastify.FastifyReply,
  problem: Problem,
): fastify.FastifyReply {
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(problem.retryAfterMs / 1_000));
    void res.header('retry-after', String(seconds));
  }
  return res
    .status(problem.status)
    .header('gypsumwall-outcome', problem.outcome)
    .type('application/problem+json')
    .send(JSON.stringify(toBody(problem)));
}
