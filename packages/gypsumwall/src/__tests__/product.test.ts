import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as product from '../product.js';

nodeTest.test('name and version equal those in package.json', () => {
  const file = new URL('../../package.json', import.meta.url);
  const pjson = JSON.parse(fs.readFileSync(file, 'utf8')) as {
    name: string;
    version: string;
  };
  assert.equal(product.PRODUCT.name, pjson.name);
  assert.equal(product.PRODUCT.version, pjson.version);
});
