/**
 * Checks one subtree as it is published, and again when its record is read
 * from the log: another version of the product may have written it.
 */
import * as result from 'true-myth/result';
import type * as zod from 'zod';
import * as cellTree from './cell_tree.js';
import * as explainIssue from './explain_issue.js';
import * as policyFaults from './policy_faults.js';
import type * as settingsProblem from './settings_problem.js';
import * as subtreePath from './subtree_path.js';

/** A subtree that was found to be sound. */
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

/** The file that a subtree was read from. */
export type SubtreeOrigin = Pick<explainIssue.Source, 'file' | 'placeOf'>;

/** The checked subtree at `path` (`cell` or `teams/<team>`), or its problems. */
export function checkSubtree(
  path: string,
  value: unknown,
  origin: SubtreeOrigin = {},
): Checked<CheckedSubtree> {
  const place = subtreePath.parseSubtreePath(path);
  if (place === undefined) return result.err([unknownPath(path)]);
  const source = {...origin, value, prefix: path.split('/')};
  switch (place.type) {
    case 'cell': {
      const checked = checkPolicy(
        cellTree.cellSchema,
        source,
        policyFaults.cellFaults,
      );
      return checked.map((policy) => ({type: 'cell', path, policy}));
    }
    case 'team': {
      const checked = checkPolicy(
        cellTree.teamSchema,
        source,
        policyFaults.teamFaults,
      );
      const {team} = place;
      return checked.map((policy) => ({type: 'team', path, team, policy}));
    }
  }
}

function checkPolicy<Policy>(
  schema: zod.ZodType<Policy>,
  source: explainIssue.Source,
  faultsOf: (policy: Policy) => explainIssue.Fault[],
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
  const faults = faultsOf(parsed.data);
  if (faults.length === 0) return result.ok(parsed.data);
  return result.err(
    faults.map((fault) => explainIssue.problemOf(fault, source)),
  );
}

function unknownPath(path: string): settingsProblem.SettingsProblem {
  return {
    path,
    value: JSON.stringify(path),
    message: 'the tree has no such subtree',
    remedy: 'Use cell or teams/TEAM, with a team of a-z, 0-9 and hyphens.',
  };
}
