import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import type * as zod from 'zod';
import * as cellTree from '../cell_tree.js';
import * as entrySettings from '../entry_settings.js';

const PAGE = new URL('../../../../docs/SETTINGS.md', import.meta.url);

/** Returns the keys and defaults of a schema in the format of the page. */
function rowsOf(schema: zod.ZodObject): [string, string][] {
  return Object.entries(schema.shape).map(([key, field]) => {
    const parsed = (field as zod.ZodType).safeParse(undefined);
    const value = parsed.success ? parsed.data : undefined;
    if (value === undefined) return [`\`${key}\``, '-'];
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return [`\`${key}\``, `\`${text}\``];
  });
}

/** Returns the first two columns of the table below a heading. */
function rowsBelow(page: string, heading: string): string[][] {
  const [, section = ''] = page.split(`\n${heading}\n`);
  const [part = ''] = section.split('\n#');
  return part
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => line.split('|').slice(1, 3))
    .map((cells) => cells.map((cell) => cell.trim()));
}

nodeTest.test('docs/SETTINGS.md has every key with its default', () => {
  const page = fs.readFileSync(PAGE, 'utf8');
  const schemas = {
    '## One entry process': entrySettings.entrySettingsSchema,
    '### cell': cellTree.cellSchema,
    '### teams/TEAM': cellTree.teamSchema,
    '### teams/TEAM/operations/NAME': cellTree.operationSchema,
  };
  for (const [heading, schema] of Object.entries(schemas)) {
    assert.deepEqual(rowsBelow(page, heading), rowsOf(schema), heading);
  }
});
