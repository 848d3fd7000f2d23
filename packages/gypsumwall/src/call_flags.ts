/** Flags of the commands that call an entry. */
import * as oclif from '@oclif/core';

/** Longest time that an entry lets a call ask for, in milliseconds. */
const LONGEST_TIMEOUT_MS = 600_000;

/** How an entry is reached, and as whom. */
export const CALL_FLAGS = {
  entry: oclif.Flags.string({
    env: 'GYPSUMWALL_ENTRY',
    helpValue: 'URL',
    description: 'address of an entry, such as http://10.0.0.5:7000',
  }),
  'token-file': oclif.Flags.string({
    helpValue: 'FILE',
    description: 'file that holds the token; else GYPSUMWALL_TOKEN is used',
  }),
  'timeout-ms': oclif.Flags.integer({
    min: 1,
    max: LONGEST_TIMEOUT_MS,
    helpValue: 'MS',
    description: 'how long the call may take; else the settings say so',
  }),
};

/** For commands that take a tree or one of its subtrees. */
export const SUBTREE_FLAG = oclif.Flags.string({
  helpValue: 'PATH',
  description: 'the file holds one subtree: cell or teams/TEAM',
});

/** For commands that change something. */
export const KEY_FLAG = oclif.Flags.string({
  helpValue: 'KEY',
  description: 'idempotency key: a repeated call finds the first one',
});

/** For commands that read. */
export const JSON_FLAG = oclif.Flags.boolean({description: 'print JSON'});

/** The call flags as oclif parsed them. */
export interface CallFlags {
  readonly entry?: string;
  readonly 'token-file'?: string;
  readonly 'timeout-ms'?: number;
}

/** Prints one text to standard output. */
export type Print = (text: string) => void;
