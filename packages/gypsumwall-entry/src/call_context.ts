/** Reads headers, identity and body of a call; used by all routes. */
import * as crypto from 'node:crypto';
import type * as fastify from 'fastify';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as authenticate from './authenticate.js';
import type * as entryContext from './entry_context.js';
import * as problem from './problem.js';

/** Longest time limit that a caller may set. */
export const MAX_TIMEOUT_MS = 600_000;

/** Converts the caller's time limit to a deadline, or returns the refusal. */
export function readDeadline(
  req: fastify.FastifyRequest,
  defaultMs: number,
  clock: types.clock.Clock,
): result.Result<types.clock.MonotonicMs, problem.Problem> {
  const text = headerOf(req, 'gypsumwall-timeout-ms');
  const timeoutMs = text === undefined ? defaultMs : Number(text);
  if (!Number.isFinite(timeoutMs) || timeoutMs > MAX_TIMEOUT_MS) {
    return result.err(
      problem.notRun(
        'invalid',
        `header gypsumwall-timeout-ms "${text}": give milliseconds from 1 ` +
          `to ${MAX_TIMEOUT_MS}`,
      ),
    );
  }
  if (timeoutMs <= 0) {
    return result.err(
      problem.notRun(
        'deadline_passed',
        `header gypsumwall-timeout-ms "${text}": the deadline has passed; ` +
          'retry with a longer time limit',
      ),
    );
  }
  return result.ok(types.clock.after(clock.monotonic(), timeoutMs));
}

/** Returns the value of a header, or the first one if it is repeated. */
export function headerOf(
  req: fastify.FastifyRequest,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Returns the caller's idempotency key if there is one, or the refusal. */
export function readKey(
  req: fastify.FastifyRequest,
): result.Result<types.ids.IdempotencyKey | undefined, problem.Problem> {
  const text = headerOf(req, 'idempotency-key');
  if (text === undefined) return result.ok(undefined);
  if (KEY_PATTERN.test(text)) {
    return result.ok(types.ids.brand<types.ids.IdempotencyKey>(text));
  }
  return result.err(
    problem.notRun(
      'invalid',
      `header idempotency-key "${text.slice(0, 40)}": use 1 to 200 visible ` +
        'ASCII characters without blanks',
    ),
  );
}

/** Makes a key for a call whose caller gave none. */
export function makeKey(): types.ids.IdempotencyKey {
  return types.ids.brand<types.ids.IdempotencyKey>(
    `auto-${crypto.randomUUID()}`,
  );
}

type Operator = Extract<authenticate.Identity, {type: 'operator'}>;

/** Returns the calling team, or the refusal. */
export function teamOf(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
): result.Result<types.ids.TeamId, problem.Problem> {
  const identity = context.authenticate(req.headers.authorization);
  switch (identity?.type) {
    case undefined:
      return result.err(unauthenticated());
    case 'team':
      return result.ok(identity.team);
    case 'operator':
      return result.err(
        problem.notRun(
          'forbidden',
          'operators have no jobs or requests: use a team token for this call',
        ),
      );
  }
}

/** Returns the calling operator, or the refusal. */
export function operatorOf(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
): result.Result<Operator, problem.Problem> {
  const identity = context.authenticate(req.headers.authorization);
  switch (identity?.type) {
    case undefined:
      return result.err(unauthenticated());
    case 'operator':
      return result.ok(identity);
    case 'team':
      return result.err(
        problem.notRun('forbidden', 'use an operator token for this call'),
      );
  }
}

function unauthenticated(): problem.Problem {
  return problem.notRun(
    'unauthenticated',
    'send the header "authorization: Bearer TOKEN" with a token whose hash ' +
      'is in the settings tree',
  );
}

/** Parses the body as JSON; returns undefined if it is not valid JSON. */
export function readJson(req: fastify.FastifyRequest): unknown {
  if (!Buffer.isBuffer(req.body)) return req.body;
  try {
    return JSON.parse(req.body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
