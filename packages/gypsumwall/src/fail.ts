/** Ends a command with a message for a person and a documented exit code. */
import * as oclif from '@oclif/core';
import * as exitCodes from './exit_codes.js';

const FAILURE_CODE = 'GYPSUMWALL_FAILURE';

/** Throws an error that `reportFailure` prints. */
export function fail(reason: exitCodes.ExitReason, message: string): never {
  throw new oclif.Errors.CLIError(message, {
    code: FAILURE_CODE,
    exit: exitCodes.EXIT_CODES[reason],
  });
}

/**
 * Prints what a command threw and sets the exit code. oclif would break long
 * lines, and a place such as `file:line:column` has to stay in one piece.
 */
export async function reportFailure(thrown: unknown): Promise<void> {
  const ours =
    thrown instanceof oclif.Errors.CLIError && thrown.code === FAILURE_CODE;
  if (!ours) return oclif.handle(thrown as Error);
  process.stderr.write(`error: ${thrown.message}\n`);
  process.exitCode = thrown.oclif.exit ?? exitCodes.EXIT_CODES.failed;
}
