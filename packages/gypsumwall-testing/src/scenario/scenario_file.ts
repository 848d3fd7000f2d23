/** Finds, reads and generates scenarios. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as result from 'true-myth/result';
import type * as zod from 'zod';
import * as exampleCell from '../example_cell.js';
import * as jsoncFile from '../jsonc_file.js';
import * as site from '../site.js';
import * as randomScenario from './random_scenario.js';
import * as scenarioSchema from './scenario_schema.js';

const SCENARIO_FOLDER = path.join(exampleCell.REPOSITORY, 'scenarios');
const SITE_FILE = 'site.jsonc';
const FILE_EXTENSION = '.jsonc';

/** Returns the names of all scenario files, sorted. */
export function scenarioNames(): string[] {
  return fs
    .readdirSync(SCENARIO_FOLDER)
    .filter((file) => file.endsWith(FILE_EXTENSION) && file !== SITE_FILE)
    .map((file) => file.slice(0, -FILE_EXTENSION.length))
    .sort();
}

/** A scenario and the site that it runs on. */
export interface LoadedScenario {
  readonly scenario: scenarioSchema.Scenario;
  readonly site: site.Site;
}

/** Generates scenarios with two random faults on the common site. */
export function generateScenarios(
  count: number,
  seed: number,
): result.Result<LoadedScenario[], string> {
  return readSite().map((commonSite) =>
    randomScenario
      .randomScenarios(count, seed)
      .map((scenario) => ({scenario, site: commonSite})),
  );
}

/**
 * Reads the site that scenarios run on unless they override some of its fields.
 */
export function readSite(): result.Result<site.Site, string> {
  return readRepositoryFile(path.join('scenarios', SITE_FILE), site.siteSchema);
}

/**
 * Reads a scenario; the error names the file, the line and how to correct it.
 */
export function readScenario(
  name: string,
): result.Result<LoadedScenario, string> {
  const file = path.join('scenarios', `${name}${FILE_EXTENSION}`);
  const scenario = readRepositoryFile(file, scenarioSchema.scenarioSchema);
  if (scenario.isErr) return result.err(scenario.error);
  const base = readSite();
  if (base.isErr) return result.err(base.error);
  const merged = site.siteSchema.safeParse(
    mergeFields(base.value, scenario.value.site),
  );
  if (merged.success) {
    return result.ok({scenario: scenario.value, site: merged.data});
  }
  const [issue] = merged.error.issues;
  const where = issue?.path.join('.') ?? '';
  return result.err(`${file}: site.${where}: ${issue?.message ?? ''}`);
}

type Fields = Readonly<Record<string, unknown>>;

/** Overrides fields of `base`; nested objects are merged field by field. */
function mergeFields(base: Fields, overrides: Fields): Fields {
  const merged: Record<string, unknown> = {...base};
  for (const [key, value] of Object.entries(overrides)) {
    const baseValue = merged[key];
    merged[key] =
      isFields(baseValue) && isFields(value)
        ? mergeFields(baseValue, value)
        : value;
  }
  return merged;
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readRepositoryFile<Schema extends zod.ZodType>(
  file: string,
  schema: Schema,
): result.Result<zod.infer<Schema>, string> {
  const full = path.join(exampleCell.REPOSITORY, file);
  if (!fs.existsSync(full)) {
    const known = scenarioNames().join(', ');
    return result.err(`${file}: no such file; there are ${known}`);
  }
  return jsoncFile.parseJsonc(file, fs.readFileSync(full, 'utf8'), schema);
}
