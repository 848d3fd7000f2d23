/** Reads settings files; invalid ones end the command with an error. */
import * as settings from '@gypsumwall/settings';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

/** Reads and checks the settings of an entry process. */
export function readEntrySettings(
  file: string,
): settings.entrySettings.EntrySettings {
  const checked = settings.checkEntrySettings.checkEntrySettings(
    readInput.readInput(file),
    file,
  );
  return checked.isOk ? checked.value : failWithProblems(checked.error);
}

/** A subtree as the file holds it, without defaults. */
export interface Subtree {
  readonly path: string;
  readonly value: unknown;
}

/**
 * Checks a file and returns its subtrees: all subtrees of a tree or, if `path` is
 * given, the one subtree that the file holds.
 */
export function readSubtrees(file: string, path?: string): Subtree[] {
  const text = readInput.readInput(file);
  const document = settings.readJsonc.readJsonc(text, file);
  if (document.isErr) return failWithProblems(document.error);
  const {value, placeOf} = document.value;
  if (path === undefined) {
    const checked = settings.checkCellTree.checkCellTree(text, file);
    if (checked.isErr) return failWithProblems(checked.error);
    return toSubtrees(value as RawTree);
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

function toSubtrees(tree: RawTree): Subtree[] {
  const teams = Object.entries(tree.teams).map(([team, value]) => ({
    path: `teams/${team}`,
    value,
  }));
  return [{path: 'cell', value: tree.cell}, ...teams];
}

/** Ends the command with an error that has one line for each problem. */
export function failWithProblems(
  problems: readonly settings.settingsProblem.SettingsProblem[],
): never {
  const lines = problems.map(settings.settingsProblem.describeProblem);
  return fail.fail('invalid', lines.join('\n'));
}
