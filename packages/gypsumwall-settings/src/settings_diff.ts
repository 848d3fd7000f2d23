/** Compares two versions of a settings tree leaf by leaf. */
import * as settingsProblem from './settings_problem.js';

/**
 * A leaf that differs. `before` is absent if the leaf was added, `after` if it
 * was removed.
 */
export interface SettingsChange {
  readonly path: string;
  readonly before?: string;
  readonly after?: string;
}

/** Returns the leaves that were added, removed or changed, sorted by path. */
export function diffSettings(
  before: unknown,
  after: unknown,
  path: readonly string[] = [],
): SettingsChange[] {
  if (isObject(before) && isObject(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys]
      .sort()
      .flatMap((key) => diffSettings(before[key], after[key], [...path, key]));
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [
    {
      path: settingsProblem.formatPath(path),
      ...(before === undefined ? {} : {before: formatLeaf(path, before)}),
      ...(after === undefined ? {} : {after: formatLeaf(path, after)}),
    },
  ];
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatLeaf(path: readonly string[], value: unknown): string {
  return settingsProblem.formatValue(path, value);
}
