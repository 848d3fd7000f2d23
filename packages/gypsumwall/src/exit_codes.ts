/** Exit codes of every command; docs/CLI.md explains them to operators. */
export const EXIT_CODES = {
  ok: 0,
  /** A fault of the program or of its surroundings. */
  failed: 1,
  /** A flag or an argument is wrong. */
  usage: 2,
  /** A settings file or a job file has problems. */
  invalid: 3,
  /** Refused, and proved not to have run. */
  notRun: 4,
  /** May have run. */
  unknown: 5,
  /** Another publish came first. */
  conflict: 6,
  /** The entry can't be reached; nothing ran. */
  unreachable: 7,
  /** No such job or subtree, or not this team's. */
  notFound: 8,
  /** The token is missing, unknown or not allowed. */
  forbidden: 9,
  /** `settings diff` found differences. */
  differs: 10,
} as const;

/** Why a command ended. */
export type ExitReason = keyof typeof EXIT_CODES;
