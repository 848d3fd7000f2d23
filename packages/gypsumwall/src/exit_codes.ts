/** Exit codes of every command; docs/CLI.md explains them to operators. */
export const EXIT_CODES = {
  ok: 0,
  /** An error of the program or of its environment. */
  failed: 1,
  /** A flag or an argument is invalid. */
  usage: 2,
  /** A settings file or a job file has problems. */
  invalid: 3,
  /** The call was refused, and it certainly did not run. */
  notRun: 4,
  /** The call may have run. */
  unknown: 5,
  /** Another publish changed the revision first. */
  conflict: 6,
  /** The entry is unreachable; nothing ran. */
  unreachable: 7,
  /** The job or subtree doesn't exist or belongs to another team. */
  notFound: 8,
  /** The token is missing, unknown or not authorised. */
  forbidden: 9,
  /** `settings diff` found differences. */
  differs: 10,
} as const;

/** Why a command ended. */
export type ExitReason = keyof typeof EXIT_CODES;
