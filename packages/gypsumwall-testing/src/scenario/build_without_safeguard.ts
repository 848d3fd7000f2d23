/**
 * Builds the product without one safeguard: applies a patch from
 * `scenarios/without/` to a temporary copy of the sources, so that the product
 * itself needs no switch for it.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as exampleCell from '../example_cell.js';

const PATCH_FOLDER = path.join(exampleCell.REPOSITORY, 'scenarios', 'without');
const PATCH_EXTENSION = '.patch';
/** Parts of the repository that the build needs, besides the libraries. */
const COPIED_PATHS = ['packages', 'tsconfig.base.json', 'tsconfig.json'];
/** Scope of this repository's packages, which must come from the copy. */
const OWN_SCOPE = '@gypsumwall';

/** A temporary copy that was built. */
export interface PatchedBuild {
  /** Path of the built program, to be run with Node.js. */
  readonly main: string;
  remove(): void;
}

/** Returns the names of all patches. */
export function safeguardNames(): string[] {
  if (!fs.existsSync(PATCH_FOLDER)) return [];
  return fs
    .readdirSync(PATCH_FOLDER)
    .filter((file) => file.endsWith(PATCH_EXTENSION))
    .map((file) => file.slice(0, -PATCH_EXTENSION.length))
    .sort();
}

/**
 * Copies, patches and builds the sources; throws if the patch doesn't apply.
 */
export function buildWithoutSafeguard(safeguard: string): PatchedBuild {
  const scratch = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-without-'));
  const remove = () => fs.rmSync(scratch, {recursive: true, force: true});
  try {
    for (const name of COPIED_PATHS) {
      const from = path.join(exampleCell.REPOSITORY, name);
      fs.cpSync(from, path.join(scratch, name), {recursive: true});
    }
    linkLibraries(scratch);
    const patch = path.join(PATCH_FOLDER, `${safeguard}${PATCH_EXTENSION}`);
    run('git', ['apply', patch], scratch);
    const compiler = path.join(scratch, 'node_modules/typescript/bin/tsc');
    run(process.execPath, [compiler, '-b', 'packages/gypsumwall'], scratch);
  } catch (thrown) {
    remove();
    throw thrown;
  }
  return {main: path.join(scratch, 'packages/gypsumwall/lib/main.js'), remove};
}

/**
 * Links the libraries to the repository's, and the project's own packages to
 * the copy.
 */
function linkLibraries(scratch: string): void {
  const from = path.join(exampleCell.REPOSITORY, 'node_modules');
  const to = path.join(scratch, 'node_modules');
  fs.mkdirSync(path.join(to, OWN_SCOPE), {recursive: true});
  for (const name of fs.readdirSync(from)) {
    if (name === OWN_SCOPE) continue;
    fs.symlinkSync(path.join(from, name), path.join(to, name));
  }
  for (const name of fs.readdirSync(path.join(from, OWN_SCOPE))) {
    const folder = path.join(scratch, 'packages', `gypsumwall-${name}`);
    fs.symlinkSync(folder, path.join(to, OWN_SCOPE, name));
  }
}

function run(program: string, args: readonly string[], cwd: string): void {
  const ran = childProcess.spawnSync(program, args, {cwd, encoding: 'utf8'});
  if (ran.status === 0) return;
  const shown = path.basename(program);
  throw new Error(
    `${shown} ${args.join(' ')} failed: ${ran.stdout}${ran.stderr}`,
  );
}
