import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as undici from 'undici';
import * as exitCodes from '../exit_codes.js';
import * as product from '../product.js';

const REPOSITORY = url.fileURLToPath(new URL('../../../..', import.meta.url));

/** Runs the binary in an empty folder, without environment variables. */
function run(binary: string, emptyFolder: string, args: readonly string[]) {
  const options = {cwd: emptyFolder, env: {}, encoding: 'utf8'} as const;
  return childProcess.spawnSync(binary, args, options);
}

/** Settings of an entry whose platform is unavailable. */
const ENTRY = {
  id: 'bole-1',
  failureDomain: 'bole-hall',
  logUrl: 'http://127.0.0.1:1',
  listUrl: 'http://127.0.0.1:1',
  rootOperatorTokenHash: 'a'.repeat(64),
};

// The platform is unavailable when an entry starts. The entry must still listen,
// so that an operator can query what is missing. It must report that it isn't
// ready, so that the balancer sends it no calls, and end with exit code 0 on
// SIGTERM, as in any planned stop.
async function startAndStop(binary: string, settings: string): Promise<void> {
  const child = childProcess.spawn(binary, ['entry', '--settings', settings], {
    stdio: ['ignore', 'pipe', 'ignore'],
    env: {},
  });
  try {
    await checkEntry(child);
  } finally {
    child.kill('SIGKILL');
  }
}

async function checkEntry(
  child: childProcess.ChildProcessByStdio<null, stream.Readable, null>,
): Promise<void> {
  const exited = events.EventEmitter.once(child, 'exit');
  const lines = readline.createInterface({input: child.stdout});
  const firstLine = await lines[Symbol.asyncIterator]().next();
  const listening = JSON.parse(String(firstLine.value)) as {address: string};
  const health = await undici.request(`${listening.address}/healthz`);
  assert.equal(health.statusCode, 200);
  await health.body.dump();
  const readiness = await undici.request(`${listening.address}/readyz`);
  assert.equal(readiness.statusCode, 503);
  await readiness.body.dump();
  child.kill('SIGTERM');
  assert.deepEqual(await exited, [0, null]);
}

nodeTest.test('the built binary is one file that runs anywhere', async () => {
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

    const invalidFile = path.join(folder, 'entry.jsonc');
    fs.writeFileSync(invalidFile, '{"id": "bole-1"}');
    for (const command of [
      ['settings', 'check', invalidFile],
      ['entry', '--settings', invalidFile],
    ]) {
      const refused = run(binary, emptyFolder, command);
      assert.equal(refused.status, exitCodes.EXIT_CODES.invalid);
      assert.match(refused.stderr, /failureDomain = \(absent\)/);
    }
    const validFile = path.join(folder, 'valid.jsonc');
    fs.writeFileSync(validFile, JSON.stringify(ENTRY));
    await startAndStop(binary, validFile);
  } finally {
    fs.rmSync(folder, {recursive: true});
  }
});
