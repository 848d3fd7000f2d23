/** Reads settings files for the commands, or ends the command. */
import * as settings from '@gypsumwall/settings';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

/** Checked settings of an entry process. */
export function readEntrySettings(
  file: string,
): settings.entrySettings.EntrySettings {
  const checked = settings.checkEntrySettings.checkEntrySettings(
    readInput.readInput(file),
    file,
  );
  return checked.isOk ? checked.value : failWithProblems(checked.error);
}

/** A value of the tree, as its file holds it: nothing is filled in. */
export interface Subtree {
  readonly path: string;
  readonly value: unknown;
}

/**
 * The subtrees in a file that was checked: all of a tree, or the one at
 * `path` where the file holds nothing else.
 */
export function readSubtrees(file: string, path?: string): Subtree[] {
  const text = readInput.readInput(file);
  const document = settings.readJsonc.readJsonc(text, file);
  if (document.isErr) return failWithProblems(document.error);
  const {value, placeOf} = document.value;
  if (path === undefined) {
    const checked = settings.checkCellTree.checkCellTree(text, file);
    if (checked.isErr) return failWithProblems(checked.error);
    return subtreesOf(value as RawTree);
  }
  const checked = settings.checkSubtree.checkSubtree(path, value, {
    file,
    placeOf,
  });
  if (checked.isErr) return failWithProblems(checked.error);
  return [{path, value}];
}

interface RawTree {
  readonly cell: unknown;
  readonly teams: Readonly<Record<string, unknown>>;
}

function subtreesOf(tree: RawTree): Subtree[] {
  const teams = Object.entries(tree.teams).map(([team, value]) => ({
    path: `teams/${team}`,
    value,
  }));
  return [{path: 'cell', value: tree.cell}, ...teams];
}

/** Ends the command with one line for each problem. */
export function failWithProblems(
  problems: readonly settings.settingsProblem.SettingsProblem[],
): never {
  const lines = problems.map(settings.settingsProblem.describeProblem);
  return fail.fail('invalid', lines.join('\n'));
}
