/** Converts zod's validation errors to settings problems with a remedy. */
import type * as zod from 'zod';
import type * as readJsonc from './read_jsonc.js';
import * as settingsProblem from './settings_problem.js';
import * as units from './units.js';

/** A value to validate, and where it came from. */
export interface Source {
  readonly value: unknown;
  /** Absent for a value that was not read from a file. */
  readonly file?: string;
  readonly placeOf?: readJsonc.JsoncDocument['placeOf'];
  /** Path of the value in the settings tree, such as `teams/night-plans`. */
  readonly prefix?: readonly string[];
}

/** A validation error; `path` is relative to the value of the source. */
export interface Fault {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly remedy: string;
}

/** Converts the validation errors of one value to problems. */
export function explainIssues(
  issues: readonly zod.core.$ZodIssue[],
  source: Source,
  knownKeys: readonly string[],
): settingsProblem.SettingsProblem[] {
  return issues
    .flatMap((issue) => toFaults(issue, source, knownKeys))
    .map((fault) => toProblem(fault, source));
}

/** Adds file, position, full path and value to a fault. */
export function toProblem(
  fault: Fault,
  source: Source,
): settingsProblem.SettingsProblem {
  const path = [...(source.prefix ?? []), ...fault.path];
  return {
    file: source.file,
    ...source.placeOf?.(fault.path),
    path: settingsProblem.formatPath(path),
    value: settingsProblem.formatValue(
      path,
      readValueAt(source.value, fault.path),
    ),
    message: fault.message,
    remedy: fault.remedy,
  };
}

function readValueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

function toFaults(
  issue: zod.core.$ZodIssue,
  source: Source,
  knownKeys: readonly string[],
): Fault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      toUnknownKeyFault(issue.path, key, knownKeys),
    );
  }
  if (issue.code === 'invalid_key') {
    const remedy =
      issue.issues[0]?.message ?? 'Use letters, digits and hyphens.';
    return [{path: issue.path, message: 'the name is not allowed', remedy}];
  }
  const value = readValueAt(source.value, issue.path);
  const message = value === undefined ? 'the value is missing' : issue.message;
  return [{path: issue.path, message, remedy: suggestRemedy(issue, value)}];
}

function toUnknownKeyFault(
  path: readonly PropertyKey[],
  key: string,
  knownKeys: readonly string[],
): Fault {
  const nearestKey = units.findNearestKey(key, knownKeys);
  const remedy =
    nearestKey === undefined
      ? 'Remove it, or see docs/SETTINGS.md for the known keys.'
      : `Did you mean ${nearestKey}${units.describeUnit(nearestKey)}?`;
  return {path: [...path, key], message: 'the key is unknown', remedy};
}

function suggestRemedy(issue: zod.core.$ZodIssue, value: unknown): string {
  const key = String(issue.path.at(-1) ?? '');
  const converted = units.convertToKeyUnit(key, value);
  if (converted !== undefined) {
    return `Write ${converted}${units.describeUnit(key)}.`;
  }
  if (issue.code === 'too_small') {
    const bound = issue.inclusive === false ? 'more than' : 'at least';
    return `Use ${bound} ${issue.minimum}.`;
  }
  if (issue.code === 'too_big') return `Use at most ${issue.maximum}.`;
  if (issue.code === 'invalid_value') {
    return `Use one of ${issue.values.map(String).join(', ')}.`;
  }
  if (issue.code === 'invalid_type') {
    return `Write ${describeType(issue.expected)}${units.describeUnit(key)}.`;
  }
  if (issue.code === 'invalid_union') return suggestUnionRemedy(issue);
  return `Write ${describeFormat(issue)}.`;
}

function suggestUnionRemedy(issue: zod.core.$ZodIssueInvalidUnion): string {
  const {options = []} = issue as {options?: readonly unknown[]};
  if (options.length > 0) return `Use one of ${options.join(', ')}.`;
  const types = issue.errors
    .flat()
    .map((inner) => (inner.code === 'invalid_type' ? inner.expected : 'other'));
  return `Write a value of type ${[...new Set(types)].join(' or ')}.`;
}

function describeType(expected: string): string {
  if (expected === 'int') return 'a whole number';
  if (expected === 'record' || expected === 'object') return 'an object';
  if (expected === 'array') return 'a list';
  return `a ${expected}`;
}

function describeFormat(issue: zod.core.$ZodIssue): string {
  if (issue.code !== 'invalid_format') return 'a valid value';
  if (issue.format === 'datetime') {
    return 'a time with its zone, such as 2027-03-01T05:00:00+03:00';
  }
  if (issue.format === 'url') return 'a URL such as http://10.0.0.1:7000';
  return `a text that matches ${issue.pattern ?? issue.format}`;
}
