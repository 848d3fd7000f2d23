/**
 * Runs every test file that has a source, with Node's own runner. Compiled
 * files whose source is gone are left out, so a stale build can't pass.
 * Arguments narrow the run to files whose path contains one of them.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const wanted = process.argv.slice(2);
const files = [];
for (const name of fs.readdirSync('packages').sort()) {
  const src = path.join('packages', name, 'src');
  if (!fs.existsSync(src)) continue;
  const found = fs.readdirSync(src, {recursive: true, encoding: 'utf8'});
  for (const file of found.sort()) {
    if (!file.endsWith('.test.ts')) continue;
    const compiled = file.replace(/\.ts$/, '.js');
    files.push(path.join('packages', name, 'lib', compiled));
  }
}
const chosen = files.filter(
  (file) => wanted.length === 0 || wanted.some((word) => file.includes(word)),
);
if (chosen.length === 0) {
  console.error(`no test file matches ${JSON.stringify(wanted)}`);
  process.exit(1);
}
const result = childProcess.spawnSync(
  process.execPath,
  ['--enable-source-maps', '--test', ...chosen],
  {stdio: 'inherit'},
);
process.exit(result.status ?? 1);
