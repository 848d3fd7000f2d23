/** Describes an invalid setting, and how to correct it. */

/** One fault in a settings file or in a published value. */
export interface SettingsProblem {
  /** Name of the file; absent for a value that was not read from a file. */
  readonly file?: string;
  /** Line in the file, from 1. */
  readonly line?: number;
  /** Column in the line, from 1. */
  readonly column?: number;
  /** Path in the tree, such as `teams/night-plans/weight`. */
  readonly path: string;
  /** The invalid value as JSON; `(hidden)` if it may be a secret. */
  readonly value: string;
  readonly message: string;
  /** How to correct the value. */
  readonly remedy: string;
}

/** Longer values are truncated in messages. */
const MAX_SHOWN_CHARACTERS = 80;

const SECRET_KEY_PATTERN = /token|secret|password/i;

/** Formats a value for a message; values that may be secrets are hidden. */
export function formatValue(path: readonly PropertyKey[], value: unknown) {
  if (path.some((key) => SECRET_KEY_PATTERN.test(String(key))))
    return '(hidden)';
  const text = JSON.stringify(value, hideSecrets) ?? '(absent)';
  return text.length <= MAX_SHOWN_CHARACTERS
    ? text
    : `${text.slice(0, MAX_SHOWN_CHARACTERS)}...`;
}

function hideSecrets(key: string, value: unknown): unknown {
  return SECRET_KEY_PATTERN.test(key) ? '(hidden)' : value;
}

/** Formats a path in the tree, with slashes. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.map(String).join('/');
}

/** Formats a problem as `file:line:column: path = value: message. remedy`. */
export function describeProblem(problem: SettingsProblem): string {
  const location = [problem.file, problem.line, problem.column]
    .filter((part) => part !== undefined)
    .join(':');
  const subject =
    problem.path === '' ? '' : `${problem.path} = ${problem.value}: `;
  const prefix = location === '' ? '' : `${location}: `;
  return `${prefix}${subject}${problem.message}. ${problem.remedy}`;
}
