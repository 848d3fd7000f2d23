/** Turns what an entry answers into values, or ends the command. */
import type * as result from 'true-myth/result';
import type * as entryClient from './entry_client.js';
import type * as exitCodes from './exit_codes.js';
import * as fail from './fail.js';

/** Body of a refusal (problem+json). */
interface ProblemBody {
  readonly detail?: string;
  readonly outcome?: string;
  readonly reason?: string;
  readonly retryAfterMs?: number;
}

/** The JSON of a good answer; any other ends the command. */
export async function callForJson(
  client: entryClient.EntryClient,
  call: entryClient.EntryCall,
): Promise<unknown> {
  const answer = orFail(await client.call(call));
  await failUnlessGood(answer);
  return jsonOf(answer);
}

/** The JSON body of an answer that is known to be good. */
export async function jsonOf(
  answer: entryClient.EntryAnswer,
): Promise<unknown> {
  return parseOrFail(orFail(await answer.text()));
}

/** Ends the command unless the entry did what it was asked. */
export async function failUnlessGood(
  answer: entryClient.EntryAnswer,
): Promise<void> {
  if (answer.status < 300) return;
  failWithProblem(answer.status, orFail(await answer.text()));
}

/** The value, or the end of the command with the right exit code. */
export function orFail<Value>(
  called: result.Result<Value, entryClient.LostCall>,
): Value {
  if (called.isOk) return called.value;
  const {effect, message} = called.error;
  switch (effect) {
    case 'not_run':
      return fail.fail(
        'unreachable',
        `${message}. Nothing ran. Check the address, or try another entry.`,
      );
    case 'unknown':
      return fail.fail(
        'unknown',
        `${message}. The call may have taken effect: read back before you repeat it, or repeat it with the same key.`,
      );
  }
}

function parseOrFail(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return fail.fail('failed', `the entry answered no JSON: ${cut(text)}`);
  }
}

function failWithProblem(status: number, text: string): never {
  const problem = readProblem(text);
  const reason = problem.reason ?? `status ${status}`;
  const detail = problem.detail ?? cut(text);
  return fail.fail(
    exitReason(status, problem),
    `${reason}: ${detail}. ${effectPhrase(problem)}`,
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

/** Reasons with an exit code of their own; all others end with notRun. */
const EXIT_REASONS: Readonly<Record<string, exitCodes.ExitReason>> = {
  conflict: 'conflict',
  not_found: 'notFound',
  unauthenticated: 'forbidden',
  forbidden: 'forbidden',
  invalid: 'invalid',
};

/** An answer that isn't the entry's own proves nothing about the effect. */
function exitReason(
  status: number,
  problem: ProblemBody,
): exitCodes.ExitReason {
  if (problem.outcome !== 'not_run') return 'unknown';
  const reason = EXIT_REASONS[problem.reason ?? ''];
  return reason ?? (status === 404 ? 'notFound' : 'notRun');
}

function effectPhrase(problem: ProblemBody): string {
  if (problem.outcome !== 'not_run') return 'It may have run.';
  if (problem.retryAfterMs === undefined) return 'Nothing ran.';
  return `Nothing ran. Try again in ${problem.retryAfterMs} ms.`;
}

const LONGEST_CUT = 200;

function cut(text: string): string {
  return text.length <= LONGEST_CUT ? text : `${text.slice(0, LONGEST_CUT)}...`;
}
