/** Differences between two values of the settings tree, leaf by leaf. */
import * as settingsProblem from './settings_problem.js';

/** One leaf that differs. `before` or `after` is absent where it has none. */
export interface SettingsChange {
  readonly path: string;
  readonly before?: string;
  readonly after?: string;
}

/** Every leaf that was added, removed or changed, in order of its path. */
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
      path: settingsProblem.showPath(path),
      ...(before === undefined ? {} : {before: show(path, before)}),
      ...(after === undefined ? {} : {after: show(path, after)}),
    },
  ];
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function show(path: readonly string[], value: unknown): string {
  return settingsProblem.showValue(path, value);
}
