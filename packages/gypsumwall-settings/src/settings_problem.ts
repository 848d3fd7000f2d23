/** What is wrong with a setting, told so that a person can mend it. */

/** One fault in a settings file or in a published value. */
export interface SettingsProblem {
  /** The file as it was named; absent for a value that came over the wire. */
  readonly file?: string;
  /** Line in the file, from 1. */
  readonly line?: number;
  /** Column in the line, from 1. */
  readonly column?: number;
  /** Place in the tree, such as `teams/night-plans/weight`. */
  readonly path: string;
  /** The offending value as JSON; `(hidden)` where it may be a secret. */
  readonly value: string;
  readonly message: string;
  /** What to write instead. */
  readonly remedy: string;
}

/** Longest piece of a value that a message repeats, in characters. */
const LONGEST_SHOWN = 80;

const SECRET_KEY = /token|secret|password/i;

/** Text of an offending value. Whatever may be a token is not repeated. */
export function showValue(path: readonly PropertyKey[], value: unknown) {
  if (path.some((key) => SECRET_KEY.test(String(key)))) return '(hidden)';
  const text = JSON.stringify(value, hideSecrets) ?? '(absent)';
  return text.length <= LONGEST_SHOWN
    ? text
    : `${text.slice(0, LONGEST_SHOWN)}...`;
}

function hideSecrets(key: string, value: unknown): unknown {
  return SECRET_KEY.test(key) ? '(hidden)' : value;
}

/** Path of a place in the tree, as people write it. */
export function showPath(path: readonly PropertyKey[]): string {
  return path.map(String).join('/');
}

/** A problem as one line: `file:line:column: path = value: message. remedy`. */
export function describeProblem(problem: SettingsProblem): string {
  const place = [problem.file, problem.line, problem.column]
    .filter((part) => part !== undefined)
    .join(':');
  const subject =
    problem.path === '' ? '' : `${problem.path} = ${problem.value}: `;
  const start = place === '' ? '' : `${place}: `;
  return `${start}${subject}${problem.message}. ${problem.remedy}`;
}
