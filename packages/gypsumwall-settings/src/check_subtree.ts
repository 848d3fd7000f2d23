/**
 * Validates one subtree when it is published, and again when its record is read
 * from the log, because another version of the product may have written it.
 */
import * as result from 'true-myth/result';
import type * as zod from 'zod';
import * as cellTree from './cell_tree.js';
import * as explainIssue from './explain_issue.js';
import * as policyFaults from './policy_faults.js';
import type * as settingsProblem from './settings_problem.js';
import * as subtreePath from './subtree_path.js';

/** A validated subtree. */
export type CheckedSubtree =
  | {
      readonly type: 'cell';
      readonly path: string;
      readonly policy: cellTree.CellPolicy;
    }
  | {
      readonly type: 'team';
      readonly path: string;
      readonly team: string;
      readonly policy: cellTree.TeamPolicy;
    };

type Checked<T> = result.Result<T, settingsProblem.SettingsProblem[]>;

/** The file from which a subtree was read. */
export type SubtreeOrigin = Pick<explainIssue.Source, 'file' | 'placeOf'>;

/**
 * Returns the validated subtree at `path` (`cell` or `teams/<team>`), or
 * its problems.
 */
export function checkSubtree(
  path: string,
  value: unknown,
  origin: SubtreeOrigin = {},
): Checked<CheckedSubtree> {
  const parsedPath = subtreePath.parseSubtreePath(path);
  if (parsedPath === undefined) return result.err([describeUnknownPath(path)]);
  const source = {...origin, value, prefix: path.split('/')};
  switch (parsedPath.type) {
    case 'cell': {
      const checked = checkPolicy(
        cellTree.cellSchema,
        source,
        policyFaults.findCellFaults,
      );
      return checked.map((policy) => ({type: 'cell', path, policy}));
    }
    case 'team': {
      const checked = checkPolicy(
        cellTree.teamSchema,
        source,
        policyFaults.findTeamFaults,
      );
      const {team} = parsedPath;
      return checked.map((policy) => ({type: 'team', path, team, policy}));
    }
  }
}

function checkPolicy<Policy>(
  schema: zod.ZodType<Policy>,
  source: explainIssue.Source,
  findFaults: (policy: Policy) => explainIssue.Fault[],
): Checked<Policy> {
  const parsed = schema.safeParse(source.value);
  if (!parsed.success) {
    return result.err(
      explainIssue.explainIssues(
        parsed.error.issues,
        source,
        policyFaults.KNOWN_KEYS,
      ),
    );
  }
  const faults = findFaults(parsed.data);
  if (faults.length === 0) return result.ok(parsed.data);
  return result.err(
    faults.map((fault) => explainIssue.toProblem(fault, source)),
  );
}

function describeUnknownPath(path: string): settingsProblem.SettingsProblem {
  return {
    path,
    value: JSON.stringify(path),
    message: 'there is no such subtree',
    remedy: 'Use cell or teams/TEAM, with a team of a-z, 0-9 and hyphens.',
  };
}
