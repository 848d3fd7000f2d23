/** `settings check`: all problems of settings files. */
import type * as result from 'true-myth/result';
import * as settings from '@gypsumwall/settings';
import type * as callFlags from './call_flags.js';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

type Problems = settings.settingsProblem.SettingsProblem[];

/** What to check, and how to tell. */
export interface CheckOptions {
  readonly files: readonly string[];
  /** Set where the files hold one subtree each. */
  readonly path?: string;
  readonly json: boolean;
}

/** Checks the files; ends the command if one has problems. */
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
  const lines = problems.map(settings.settingsProblem.describeProblem);
  fail.fail('invalid', options.json ? count : [...lines, count].join('\n'));
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
  return isTree(value)
    ? problemsOf(settings.checkCellTree.checkCellTree(text, file))
    : problemsOf(settings.checkEntrySettings.checkEntrySettings(text, file));
}

function problemsOf(checked: result.Result<unknown, Problems>): Problems {
  return checked.isErr ? checked.error : [];
}

/** Only a tree has a cell or teams; any other file is an entry's. */
function isTree(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    ('cell' in value || 'teams' in value)
  );
}
