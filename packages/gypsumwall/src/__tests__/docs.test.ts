import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as settings from '@gypsumwall/settings';

const REPOSITORY = url.fileURLToPath(new URL('../../../..', import.meta.url));

function readText(file: string): string {
  return fs.readFileSync(path.join(REPOSITORY, file), 'utf8');
}

/** Paths of all pages, relative to the repository's root. */
function listPages(): string[] {
  const docs = fs.readdirSync(path.join(REPOSITORY, 'docs'), {
    recursive: true,
    encoding: 'utf8',
  });
  return [
    ...fs.readdirSync(REPOSITORY),
    ...docs.map((name) => path.join('docs', name)),
  ].filter((name) => name.endsWith('.md'));
}

nodeTest.test('every link between pages has an existing target', () => {
  for (const page of listPages()) {
    for (const [, target = ''] of readText(page).matchAll(/\]\(([^)#]+)/g)) {
      if (URL.canParse(target)) continue;
      const file = path.join(REPOSITORY, path.dirname(page), target);
      assert.ok(fs.existsSync(file), `${page}: ${target}`);
    }
  }
});

nodeTest.test('every npm command on a page exists', () => {
  const {scripts} = JSON.parse(readText('package.json')) as {
    scripts: object;
  };
  for (const page of listPages()) {
    for (const [, name = ''] of readText(page).matchAll(/npm run ([a-z:]+)/g)) {
      assert.ok(name in scripts, `${page}: npm run ${name}`);
    }
  }
});

nodeTest.test('docs/ARCHITECTURE.md names every package', () => {
  const page = readText('docs/ARCHITECTURE.md');
  for (const name of fs.readdirSync(path.join(REPOSITORY, 'packages'))) {
    assert.match(page, new RegExp(`^\\| \`${name}\` +\\|`, 'm'));
  }
});

nodeTest.test('docs/OPERATIONS.md names only events that are logged', () => {
  const sources = fs
    .readdirSync(path.join(REPOSITORY, 'packages'), {
      recursive: true,
      encoding: 'utf8',
    })
    .filter((name) => /\/src\/[^/]+\.ts$/.test(name))
    .map((name) => readText(path.join('packages', name)))
    .join('\n');
  const namedEvents = readText('docs/OPERATIONS.md')
    .split('- **Means:**')
    .flatMap((part) => part.split('- **See:**').slice(1))
    .flatMap((part) => [...part.matchAll(/`([a-z]+_[a-z_]+)`/g)]);
  assert.notEqual(namedEvents.length, 0);
  for (const [, event = ''] of namedEvents) {
    assert.match(sources, new RegExp(`'${event}'|\\b${event}:`), event);
  }
});

nodeTest.test('the example cells pass settings check', () => {
  for (const name of fs.readdirSync(path.join(REPOSITORY, 'examples'))) {
    const file = path.join('examples', name, 'cell.jsonc');
    const checked = settings.checkCellTree.checkCellTree(readText(file), file);
    assert.deepEqual(checked.isErr ? checked.error : [], []);
  }
});
