/** Implements `settings check`, which prints all problems of settings files. */
import type * as result from 'true-myth/result';
import * as settings from '@gypsumwall/settings';
import type * as callFlags from './call_flags.js';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

type Problems = settings.settingsProblem.SettingsProblem[];

/** Options of `checkSettings`. */
export interface CheckOptions {
  readonly files: readonly string[];
  /** Path of the subtree, if each file holds one subtree. */
  readonly path?: string;
  readonly json: boolean;
}

/** Checks the files; ends the command with an error if one has problems. */
export function checkSettings(
  options: CheckOptions,
  print: callFlags.Print,
): void {
  const problems = options.files.flatMap((file) =>
    checkFile(file, options.path),
  );
  if (options.json) print(JSON.stringify({problems}, null, 2));
  else if (problems.length === 0) {
    print(`${options.files.join(', ')}: no problems`);
  }
  if (problems.length === 0) return;
  const count = `${problems.length} problem(s)`;
  const descriptions = problems.map(settings.settingsProblem.describeProblem);
  fail.fail(
    'invalid',
    options.json ? count : [...descriptions, count].join('\n'),
  );
}

function checkFile(file: string, path: string | undefined): Problems {
  const text = readInput.readInput(file);
  const document = settings.readJsonc.readJsonc(text, file);
  if (document.isErr) return document.error;
  const {value, placeOf} = document.value;
  if (path !== undefined) {
    const origin = {file, placeOf};
    return problemsOf(settings.checkSubtree.checkSubtree(path, value, origin));
  }
  return isCellTree(value)
    ? problemsOf(settings.checkCellTree.checkCellTree(text, file))
    : problemsOf(settings.checkEntrySettings.checkEntrySettings(text, file));
}

function problemsOf(checked: result.Result<unknown, Problems>): Problems {
  return checked.isErr ? checked.error : [];
}

/** Whether it is a cell's tree; other files are settings of an entry. */
function isCellTree(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    ('cell' in value || 'teams' in value)
  );
}
