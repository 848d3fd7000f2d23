/** Ends a command with a message for a person and a documented exit code. */
import * as oclif from '@oclif/core';
import * as exitCodes from './exit_codes.js';

/** Throws an error that oclif prints and turns into the exit code. */
export function fail(reason: exitCodes.ExitReason, message: string): never {
  throw new oclif.Errors.CLIError(message, {
    exit: exitCodes.EXIT_CODES[reason],
  });
}
