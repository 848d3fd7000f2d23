/** Reads files that are named on the command line. */
import * as fs from 'node:fs';
import * as types from '@gypsumwall/types';
import * as fail from './fail.js';

/** Returns the text of a file, or of standard input for `-`. */
export function readInput(file: string): string {
  try {
    return fs.readFileSync(file === '-' ? process.stdin.fd : file, 'utf8');
  } catch (thrown) {
    const cause = types.stepError.messageOf(thrown);
    return fail.fail(
      'invalid',
      `can't read ${file}: ${cause}. Name a file that can be read, or - for standard input.`,
    );
  }
}
