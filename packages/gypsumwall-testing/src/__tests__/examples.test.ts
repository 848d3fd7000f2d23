import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as settings from '@gypsumwall/settings';
import * as jsoncFile from '../jsonc_file.js';
import * as site from '../site.js';
import * as workload from '../workload.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);

function read<Schema extends Parameters<typeof jsoncFile.requireJsoncFile>[1]>(
  name: string,
  schema: Schema,
) {
  const file = url.fileURLToPath(new URL(name, EXAMPLES));
  return jsoncFile.requireJsoncFile(file, schema);
}

for (const name of ['addis', 'skyroute']) {
  nodeTest.test(`example ${name} fits its schemas and tokens`, () => {
    const tree = read(`${name}/cell.jsonc`, settings.cellTree.cellTreeSchema);
    const where = read(`${name}/site.jsonc`, site.siteSchema);
    const tokens = read(`${name}/tokens.jsonc`, site.tokensSchema);
    const work = read(`${name}/workload.jsonc`, workload.workloadSchema);
    const domains = where.failureDomains.map((domain) => domain.name);
    assert.deepEqual(domains, tree.cell.failureDomains);
    for (const [team, {tokenHashes}] of Object.entries(tree.teams)) {
      assert.deepEqual(tokenHashes, [sha256(tokens.teams[team] ?? '')]);
    }
    for (const [id, {tokenHash}] of Object.entries(tree.cell.operators)) {
      assert.equal(tokenHash, sha256(tokens.operators[id] ?? ''));
    }
    for (const {team, operation} of work.requests) {
      assert.ok(tree.teams[team]?.operations[operation], operation);
    }
    for (const {team} of work.jobs) assert.ok(tree.teams[team], team);
  });
}

function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

nodeTest.test('errors of an invalid file name line and correction', () => {
  const text = '{\n  "failureDomains": [],\n  "worker": 1\n}';
  const parsed = jsoncFile.parseJsonc('site.jsonc', text, site.siteSchema);
  assert.ok(parsed.isErr);
  assert.match(parsed.error, /site\.jsonc:2: failureDomains: /);
  assert.match(parsed.error, /remove worker or mend the spelling/);
});
