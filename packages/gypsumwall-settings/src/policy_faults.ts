/** Faults that one field alone doesn't show: values that contradict. */
import * as cellTree from './cell_tree.js';
import type * as explainIssue from './explain_issue.js';
import * as subtreePath from './subtree_path.js';

type Fault = explainIssue.Fault;

/** Every key a tree may hold, for the remedy of a misspelt one. */
export const KNOWN_KEYS: readonly string[] = [
  ...Object.keys(cellTree.cellTreeSchema.shape),
  ...Object.keys(cellTree.cellSchema.shape),
  ...Object.keys(cellTree.operatorSchema.shape),
  ...Object.keys(cellTree.teamSchema.shape),
  ...Object.keys(cellTree.teamSchema.shape.quota.shape),
  ...Object.keys(cellTree.operationSchema.shape),
];

/** Contradictions in the whole tree. */
export function treeFaults(tree: cellTree.CellTree): Fault[] {
  const teams = Object.entries(tree.teams).flatMap(([team, policy]) =>
    teamFaults(policy).map((fault) => below(['teams', team], fault)),
  );
  return [
    ...shapeFaults(tree.cell).map((fault) => below(['cell'], fault)),
    ...teams,
    ...missingSubtrees(tree),
    ...sharedTokens(treeTokens(tree)),
  ];
}

/** Contradictions in the `cell` subtree. */
export function cellFaults(cell: cellTree.CellPolicy): Fault[] {
  return [...shapeFaults(cell), ...sharedTokens(operatorTokens(cell))];
}

function shapeFaults(cell: cellTree.CellPolicy): Fault[] {
  const domains = cell.failureDomains.flatMap((domain, index) =>
    cell.failureDomains.indexOf(domain) === index
      ? []
      : [repeatedDomain(index)],
  );
  const operators = Object.entries(cell.operators).flatMap(([name, operator]) =>
    operator.subtrees.flatMap((path, index) =>
      isSubtree(path) ? [] : [unknownSubtree(name, index)],
    ),
  );
  return [...domains, ...operators];
}

/** Contradictions in a team's subtree. */
export function teamFaults(team: cellTree.TeamPolicy): Fault[] {
  return Object.entries(team.operations).flatMap(([name, operation]) =>
    operation.estimateMs <= operation.timeoutMs
      ? []
      : [
          {
            path: ['operations', name, 'timeoutMs'],
            message: `contradicts estimateMs = ${operation.estimateMs}: no request could be answered in time`,
            remedy: `Use at least ${operation.estimateMs} (milliseconds).`,
          },
        ],
  );
}

function below(prefix: readonly string[], fault: Fault): Fault {
  return {...fault, path: [...prefix, ...fault.path]};
}

function isSubtree(path: string): boolean {
  return (
    path === subtreePath.WHOLE_TREE ||
    subtreePath.parseSubtreePath(path) !== undefined
  );
}

function repeatedDomain(index: number): Fault {
  return {
    path: ['failureDomains', index],
    message: 'the failure domain stands twice',
    remedy: 'Keep one of the two.',
  };
}

function unknownSubtree(operator: string, index: number): Fault {
  return {
    path: ['operators', operator, 'subtrees', index],
    message: 'the tree has no such subtree',
    remedy: 'Use cell, teams/TEAM or *.',
  };
}

function missingSubtrees(tree: cellTree.CellTree): Fault[] {
  return Object.entries(tree.cell.operators).flatMap(([name, operator]) =>
    operator.subtrees.flatMap((path, index) => {
      const place = subtreePath.parseSubtreePath(path);
      if (place?.type !== 'team' || place.team in tree.teams) return [];
      return [
        {
          path: ['cell', 'operators', name, 'subtrees', index],
          message: 'the subtree lies outside the tree: no such team',
          remedy: `Use a team of ${Object.keys(tree.teams).join(', ')}.`,
        },
      ];
    }),
  );
}

interface TokenPlace {
  readonly hash: string;
  readonly path: readonly string[];
}

function operatorTokens(cell: cellTree.CellPolicy): TokenPlace[] {
  return Object.entries(cell.operators).map(([name, operator]) => ({
    hash: operator.tokenHash,
    path: ['operators', name, 'tokenHash'],
  }));
}

function teamTokens(team: cellTree.TeamPolicy): TokenPlace[] {
  return team.tokenHashes.map((hash, index) => ({
    hash,
    path: ['tokenHashes', String(index)],
  }));
}

function treeTokens(tree: cellTree.CellTree): TokenPlace[] {
  const within = (prefix: readonly string[], places: TokenPlace[]) =>
    places.map(({hash, path}) => ({hash, path: [...prefix, ...path]}));
  return [
    ...within(['cell'], operatorTokens(tree.cell)),
    ...Object.entries(tree.teams).flatMap(([team, policy]) =>
      within(['teams', team], teamTokens(policy)),
    ),
  ];
}

/**
 * A token hash that stands at two places proves nothing: work of one team
 * would be read and billed as another's.
 */
function sharedTokens(places: readonly TokenPlace[]): Fault[] {
  return places.flatMap(({hash, path}, index) => {
    const first = places.findIndex((place) => place.hash === hash);
    const other = places[first]?.path.join('/') ?? '';
    if (first === index) return [];
    return [
      {
        path,
        message: `the same token hash stands at ${other}`,
        remedy: 'Give each team and each operator a token of its own.',
      },
    ];
  });
}
