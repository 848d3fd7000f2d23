/** Reads and validates the example cells in `examples/`. */
import * as path from 'node:path';
import * as url from 'node:url';
import * as settings from '@gypsumwall/settings';
import * as jsoncFile from './jsonc_file.js';
import * as site from './site.js';

/** Root of the repository, relative to the compiled file. */
export const REPOSITORY = url.fileURLToPath(
  new URL('../../../', import.meta.url),
);

/** Arguments for Node.js that start an entry of this repository. */
export const ENTRY_COMMAND: readonly string[] = [
  path.join(REPOSITORY, 'packages/gypsumwall/lib/main.js'),
  'entry',
  '--settings',
];

/** An example cell. */
export interface ExampleCell {
  readonly folder: string;
  readonly site: site.Site;
  readonly tokens: site.Tokens;
  readonly tree: settings.cellTree.CellTree;
}

/**
 * Reads an example by its name; throws with the line of an error and how to
 * correct it.
 */
export function readExampleCell(name: string): ExampleCell {
  const folder = path.join(REPOSITORY, 'examples', name);
  const fileIn = (file: string) => path.join(folder, file);
  return {
    folder,
    site: jsoncFile.requireJsoncFile(fileIn('site.jsonc'), site.siteSchema),
    tokens: jsoncFile.requireJsoncFile(
      fileIn('tokens.jsonc'),
      site.tokensSchema,
    ),
    tree: jsoncFile.requireJsoncFile(
      fileIn('cell.jsonc'),
      settings.cellTree.cellTreeSchema,
    ),
  };
}
