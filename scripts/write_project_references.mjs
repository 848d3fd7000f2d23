/**
 * Generates the tsconfig.json of each package from the table of allowed
 * dependencies in package_arrows.mjs. Run it after that table changes:
 * node scripts/write_project_references.mjs
 */
import * as fs from 'node:fs';
import * as arrows from './package_arrows.mjs';

const names = Object.keys(arrows.PACKAGE_ARROWS);
for (const name of names) {
  const references = arrows.PACKAGE_ARROWS[name].map((to) => ({
    path: `../${arrows.folderOf(to)}`,
  }));
  const config = {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: 'src', outDir: 'lib'},
    include: ['src'],
    references,
  };
  const file = `packages/${arrows.folderOf(name)}/tsconfig.json`;
  fs.writeFileSync(file, JSON.stringify(config, null, 2) + '\n');
}
const root = {
  files: [],
  references: [
    ...names.map((name) => ({path: `packages/${arrows.folderOf(name)}`})),
    // The adapter to the users' platform declares its references in its own
    // tsconfig.json.
    {path: 'platform'},
  ],
};
fs.writeFileSync('tsconfig.json', JSON.stringify(root, null, 2) + '\n');
