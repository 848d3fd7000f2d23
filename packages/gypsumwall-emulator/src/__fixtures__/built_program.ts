/** Builds the deployed program for the tests of one file. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';

/**
 * Returns a temporary folder into which the program is built before the file's
 * tests; it is removed after them.
 */
export function buildProgramForTests(): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-built-'));
  nodeTest.before(() =>
    childProcess.execFileSync(process.execPath, [
      'scripts/build_deploy.mjs',
      folder,
    ]),
  );
  nodeTest.after(() => fs.rmSync(folder, {recursive: true}));
  return folder;
}
