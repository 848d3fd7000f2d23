/** Flags of the commands that call an entry. */
import * as oclif from '@oclif/core';

/** Maximum timeout that an entry accepts for a call. */
const MAX_TIMEOUT_MS = 600_000;

/** Address of the entry, token of the caller and timeout of the call. */
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
    max: MAX_TIMEOUT_MS,
    helpValue: 'MS',
    description: 'how long the call may take; else the settings say so',
  }),
};

/** Flag of commands that take a tree or one of its subtrees. */
export const SUBTREE_FLAG = oclif.Flags.string({
  helpValue: 'PATH',
  description: 'the file holds one subtree: cell or teams/TEAM',
});

/** Flag of commands that change something. */
export const KEY_FLAG = oclif.Flags.string({
  helpValue: 'KEY',
  description: 'idempotency key: a repeated call finds the first one',
});

/** Flag of commands that can print JSON. */
export const JSON_FLAG = oclif.Flags.boolean({description: 'print JSON'});

/** Values of the call flags, as oclif parses them. */
export interface CallFlags {
  readonly entry?: string;
  readonly 'token-file'?: string;
  readonly 'timeout-ms'?: number;
}

/** Prints a text and a line break. */
export type Print = (text: string) => void;
