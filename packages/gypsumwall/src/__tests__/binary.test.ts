import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as exitCodes from '../exit_codes.js';
import * as product from '../product.js';

const REPOSITORY = url.fileURLToPath(new URL('../../../..', import.meta.url));

/** Runs the binary in a folder that holds nothing, with no environment. */
function run(binary: string, emptyFolder: string, args: readonly string[]) {
  const options = {cwd: emptyFolder, env: {}, encoding: 'utf8'} as const;
  return childProcess.spawnSync(binary, args, options);
}

nodeTest.test('the built binary is one file that runs anywhere', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-binary-'));
  const emptyFolder = path.join(folder, 'empty');
  fs.mkdirSync(emptyFolder);
  try {
    const outDir = path.join(folder, 'dist');
    const build = ['scripts/build_binary.mjs', outDir];
    childProcess.execFileSync(process.execPath, build, {
      cwd: REPOSITORY,
      stdio: 'ignore',
    });
    assert.deepEqual(fs.readdirSync(outDir), [product.PRODUCT.name]);
    const binary = path.join(outDir, product.PRODUCT.name);

    const version = run(binary, emptyFolder, ['--version']);
    assert.equal(version.stderr, '');
    assert.match(version.stdout, new RegExp(`/${product.PRODUCT.version} `));

    const bad = path.join(folder, 'entry.jsonc');
    fs.writeFileSync(bad, '{"id": "bole-1"}');
    for (const command of [
      ['settings', 'check', bad],
      ['entry', '--settings', bad],
    ]) {
      const refused = run(binary, emptyFolder, command);
      assert.equal(refused.status, exitCodes.EXIT_CODES.invalid);
      assert.match(refused.stderr, /failureDomain = \(absent\)/);
    }
  } finally {
    fs.rmSync(folder, {recursive: true});
  }
});
