/** Validates a file with the whole settings tree of a cell. */
import * as result from 'true-myth/result';
import * as cellTree from './cell_tree.js';
import * as explainIssue from './explain_issue.js';
import * as policyFaults from './policy_faults.js';
import * as readJsonc from './read_jsonc.js';
import type * as settingsProblem from './settings_problem.js';

/** Returns the tree in `text`, or all problems; `file` is shown in them. */
export function checkCellTree(
  text: string,
  file: string,
): result.Result<cellTree.CellTree, settingsProblem.SettingsProblem[]> {
  const document = readJsonc.readJsonc(text, file);
  if (document.isErr) return result.err(document.error);
  const {value, placeOf} = document.value;
  const source = {value, placeOf, file};
  const parsed = cellTree.cellTreeSchema.safeParse(value);
  if (!parsed.success) {
    return result.err(
      explainIssue.explainIssues(
        parsed.error.issues,
        source,
        policyFaults.KNOWN_KEYS,
      ),
    );
  }
  const faults = policyFaults.findTreeFaults(parsed.data);
  if (faults.length === 0) return result.ok(parsed.data);
  return result.err(
    faults.map((fault) => explainIssue.toProblem(fault, source)),
  );
}
