/** Turns what the schema library found into problems with a remedy. */
import type * as zod from 'zod';
import type * as readJsonc from './read_jsonc.js';
import * as settingsProblem from './settings_problem.js';
import * as units from './units.js';

/** Where the checked value came from. */
export interface Source {
  readonly value: unknown;
  /** Absent for a value that came over the wire. */
  readonly file?: string;
  readonly placeOf?: readJsonc.JsoncDocument['placeOf'];
  /** Put before every path, such as `teams/night-plans`. */
  readonly prefix?: readonly string[];
}

/** A fault at a path below the source's root. */
export interface Fault {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly remedy: string;
}

/** All problems behind the issues of one check. */
export function explainIssues(
  issues: readonly zod.core.$ZodIssue[],
  source: Source,
  knownKeys: readonly string[],
): settingsProblem.SettingsProblem[] {
  return issues
    .flatMap((issue) => faultsOf(issue, source, knownKeys))
    .map((fault) => problemOf(fault, source));
}

/** A problem from a fault, with its file, place, path and value. */
export function problemOf(
  fault: Fault,
  source: Source,
): settingsProblem.SettingsProblem {
  const path = [...(source.prefix ?? []), ...fault.path];
  return {
    file: source.file,
    ...source.placeOf?.(fault.path),
    path: settingsProblem.showPath(path),
    value: settingsProblem.showValue(path, valueAt(source.value, fault.path)),
    message: fault.message,
    remedy: fault.remedy,
  };
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

function faultsOf(
  issue: zod.core.$ZodIssue,
  source: Source,
  knownKeys: readonly string[],
): Fault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownKey(issue.path, key, knownKeys));
  }
  if (issue.code === 'invalid_key') {
    const remedy =
      issue.issues[0]?.message ?? 'Use letters, digits and hyphens.';
    return [{path: issue.path, message: 'the name is not allowed', remedy}];
  }
  const value = valueAt(source.value, issue.path);
  const message = value === undefined ? 'the value is missing' : issue.message;
  return [{path: issue.path, message, remedy: remedyFor(issue, value)}];
}

function unknownKey(
  path: readonly PropertyKey[],
  key: string,
  knownKeys: readonly string[],
): Fault {
  const near = units.nearestKey(key, knownKeys);
  const remedy =
    near === undefined
      ? 'Take it out, or look it up in docs/SETTINGS.md.'
      : `Did you mean ${near}${units.unitPhrase(near)}?`;
  return {path: [...path, key], message: 'the key is unknown', remedy};
}

function remedyFor(issue: zod.core.$ZodIssue, value: unknown): string {
  const key = String(issue.path.at(-1) ?? '');
  const converted = units.convert(key, value);
  if (converted !== undefined) {
    return `Write ${converted}${units.unitPhrase(key)}.`;
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
    return `Write ${typePhrase(issue.expected)}${units.unitPhrase(key)}.`;
  }
  if (issue.code === 'invalid_union') return unionRemedy(issue);
  return `Write ${formatPhrase(issue)}.`;
}

function unionRemedy(issue: zod.core.$ZodIssueInvalidUnion): string {
  const {options = []} = issue as {options?: readonly unknown[]};
  if (options.length > 0) return `Use one of ${options.join(', ')}.`;
  const types = issue.errors
    .flat()
    .map((inner) => (inner.code === 'invalid_type' ? inner.expected : 'other'));
  return `Write a value of type ${[...new Set(types)].join(' or ')}.`;
}

function typePhrase(expected: string): string {
  if (expected === 'int') return 'a whole number';
  if (expected === 'record' || expected === 'object') return 'an object';
  if (expected === 'array') return 'a list';
  return `a ${expected}`;
}

function formatPhrase(issue: zod.core.$ZodIssue): string {
  if (issue.code !== 'invalid_format') return 'a value that fits';
  if (issue.format === 'datetime') {
    return 'a moment with its zone, such as 2027-03-01T05:00:00+03:00';
  }
  if (issue.format === 'url') return 'a URL such as http://10.0.0.1:7000';
  return `a text that matches ${issue.pattern ?? issue.format}`;
}
