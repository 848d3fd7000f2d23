import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as eslint from 'eslint';

const REPOSITORY = url.fileURLToPath(new URL('../../../..', import.meta.url));
const linter = new eslint.ESLint({cwd: REPOSITORY});

/** A file of the lowest package, which may not import other packages. */
const TYPES_FILE = 'packages/gypsumwall-types/src/clock.ts';
const COMMAND_FILE = 'packages/gypsumwall/src/commands/entry_command.ts';

const UNION = `type Step = {readonly type: 'go'} | {readonly type: 'stop'};
declare const step: Step;
`;

/** The lint rules that the text violates as the content of the file. */
async function violatedRules(file: string, text: string): Promise<string[]> {
  const [report] = await linter.lintText(text, {filePath: file});
  const fatal = report!.messages.find((message) => message.fatal);
  assert.equal(fatal, undefined, fatal?.message);
  return report!.messages.map((message) => message.ruleId ?? '');
}

nodeTest.test('each forbidden form violates its rule', async () => {
  const cases: [string, string][] = [
    ["import {readFileSync} from 'node:fs';", 'no-restricted-syntax'],
    ["import type {Stats} from 'node:fs';", 'no-restricted-syntax'],
    ["import fs from 'node:fs';", 'no-restricted-syntax'],
    ['export default 1;', 'no-restricted-syntax'],
    ['const a = 1; export {a as default};', 'no-restricted-syntax'],
    ['export class Placer {}', 'no-restricted-syntax'],
    [
      "import * as entry from '@gypsumwall/entry'; export const a = entry;",
      'no-restricted-imports',
    ],
    [
      "import * as a from '@gypsumwall/types/lib/ids.js'; export const b = a;",
      'no-restricted-imports',
    ],
    [
      "import * as a from '../../gypsumwall-entry/lib/index.js'; export const b = a;",
      'no-restricted-imports',
    ],
    ["export const a = import('@gypsumwall/entry');", 'no-restricted-syntax'],
    ["export type A = import('@gypsumwall/entry');", 'no-restricted-syntax'],
    [
      `${UNION}switch (step.type) { case 'go': break; }`,
      '@typescript-eslint/switch-exhaustiveness-check',
    ],
    [
      `${UNION}switch (step.type) { case 'go': break; default: break; }`,
      '@typescript-eslint/switch-exhaustiveness-check',
    ],
    ['export const a: any = 1;', '@typescript-eslint/no-explicit-any'],
    [
      'export async function f() { await Promise.resolve(); }\nf();',
      '@typescript-eslint/no-floating-promises',
    ],
  ];
  for (const [text, rule] of cases) {
    const violated = await violatedRules(TYPES_FILE, text);
    assert.ok(violated.includes(rule), `${text}: ${violated.join(', ')}`);
  }
});

nodeTest.test('the allowed forms violate no rule', async () => {
  const exhaustive = `${UNION}switch (step.type) { case 'go': case 'stop': break; }`;
  const namespace = "import * as fs from 'node:fs';\nexport const a = fs;";
  for (const text of [exhaustive, namespace]) {
    assert.deepEqual(await violatedRules(TYPES_FILE, `${text}\n`), []);
  }
  const command = 'export class SomeCommand {}\n';
  assert.deepEqual(await violatedRules(COMMAND_FILE, command), []);
});
