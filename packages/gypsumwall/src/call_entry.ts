/** Converts an entry's answers to values, or ends the command with an error. */
import type * as result from 'true-myth/result';
import type * as entryClient from './entry_client.js';
import type * as exitCodes from './exit_codes.js';
import * as fail from './fail.js';

/** Body of an error response (problem+json). */
interface ProblemBody {
  readonly detail?: string;
  readonly outcome?: string;
  readonly reason?: string;
  readonly retryAfterMs?: number;
}

/** Returns the JSON of a success response; any other ends the command. */
export async function callForJson(
  client: entryClient.EntryClient,
  call: entryClient.EntryCall,
): Promise<unknown> {
  const answer = valueOrFail(await client.call(call));
  await failUnlessOk(answer);
  return readJson(answer);
}

/** Reads the JSON body of a response whose status was checked. */
export async function readJson(
  answer: entryClient.EntryAnswer,
): Promise<unknown> {
  return parseOrFail(valueOrFail(await answer.text()));
}

/** Ends the command unless the status is a success. */
export async function failUnlessOk(
  answer: entryClient.EntryAnswer,
): Promise<void> {
  if (answer.status < 300) return;
  failWithProblem(answer.status, valueOrFail(await answer.text()));
}

/** Returns the value; a failed call ends the command with its exit code. */
export function valueOrFail<Value>(
  outcome: result.Result<Value, entryClient.FailedCall>,
): Value {
  if (outcome.isOk) return outcome.value;
  const {effect, message} = outcome.error;
  switch (effect) {
    case 'not_run':
      return fail.fail(
        'unreachable',
        `${message}. Nothing ran. Check the address, or try another entry.`,
      );
    case 'unknown':
      return fail.fail(
        'unknown',
        `${message}. The call may have taken effect: check that before you repeat it, or repeat it with the same key.`,
      );
  }
}

function parseOrFail(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return fail.fail(
      'failed',
      `the entry's answer is not JSON: ${truncate(text)}`,
    );
  }
}

function failWithProblem(status: number, text: string): never {
  const problem = readProblem(text);
  const reason = problem.reason ?? `status ${status}`;
  const detail = problem.detail ?? truncate(text);
  return fail.fail(
    exitReasonOf(status, problem),
    `${reason}: ${detail}. ${describeEffect(problem)}`,
  );
}

function readProblem(text: string): ProblemBody {
  try {
    const body: unknown = JSON.parse(text);
    return typeof body === 'object' && body !== null ? body : {};
  } catch {
    return {};
  }
}

/** Exit reasons by problem reason; other reasons result in `notRun`. */
const EXIT_REASON_BY_PROBLEM: Readonly<Record<string, exitCodes.ExitReason>> = {
  conflict: 'conflict',
  not_found: 'notFound',
  unauthenticated: 'forbidden',
  forbidden: 'forbidden',
  invalid: 'invalid',
};

/** A response that an entry didn't send proves nothing about the effect. */
function exitReasonOf(
  status: number,
  problem: ProblemBody,
): exitCodes.ExitReason {
  if (problem.outcome !== 'not_run') return 'unknown';
  const reason = EXIT_REASON_BY_PROBLEM[problem.reason ?? ''];
  return reason ?? (status === 404 ? 'notFound' : 'notRun');
}

function describeEffect(problem: ProblemBody): string {
  if (problem.outcome !== 'not_run') return 'It may have run.';
  if (problem.retryAfterMs === undefined) return 'Nothing ran.';
  return `Nothing ran. Try again in ${problem.retryAfterMs} ms.`;
}

const MAX_QUOTED_LENGTH = 200;

function truncate(text: string): string {
  return text.length <= MAX_QUOTED_LENGTH
    ? text
    : `${text.slice(0, MAX_QUOTED_LENGTH)}...`;
}
