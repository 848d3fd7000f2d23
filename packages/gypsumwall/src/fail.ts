/** Ends a command with a readable message and a documented exit code. */
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
 * Prints the error that a command threw and sets the exit code. Failures of
 * `fail` are printed here because oclif wraps long lines, which would break a
 * location such as `file:line:column`.
 */
export async function reportFailure(thrown: unknown): Promise<void> {
  const isExpectedFailure =
    thrown instanceof oclif.Errors.CLIError && thrown.code === FAILURE_CODE;
  if (!isExpectedFailure) return oclif.handle(thrown as Error);
  process.stderr.write(`error: ${thrown.message}\n`);
  process.exitCode = thrown.oclif.exit ?? exitCodes.EXIT_CODES.failed;
}
