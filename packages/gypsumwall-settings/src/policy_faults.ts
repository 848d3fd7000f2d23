/**
 * Finds faults that the schema can't express: contradictions between values and
 * references to missing subtrees.
 */
import * as cellTree from './cell_tree.js';
import type * as explainIssue from './explain_issue.js';
import * as subtreePath from './subtree_path.js';

type Fault = explainIssue.Fault;

/** All keys of the tree, to suggest one for a misspelt key. */
export const KNOWN_KEYS: readonly string[] = [
  ...Object.keys(cellTree.cellTreeSchema.shape),
  ...Object.keys(cellTree.cellSchema.shape),
  ...Object.keys(cellTree.operatorSchema.shape),
  ...Object.keys(cellTree.teamSchema.shape),
  ...Object.keys(cellTree.teamSchema.shape.quota.shape),
  ...Object.keys(cellTree.operationSchema.shape),
];

/** Finds the faults in the whole tree. */
export function findTreeFaults(tree: cellTree.CellTree): Fault[] {
  const teams = Object.entries(tree.teams).flatMap(([team, policy]) =>
    findTeamFaults(policy).map((fault) =>
      prefixFaultPath(['teams', team], fault),
    ),
  );
  return [
    ...findOwnCellFaults(tree.cell).map((fault) =>
      prefixFaultPath(['cell'], fault),
    ),
    ...teams,
    ...findMissingTeams(tree),
    ...findSharedTokens(listTreeTokens(tree)),
  ];
}

/** Finds the faults in the `cell` subtree. */
export function findCellFaults(cell: cellTree.CellPolicy): Fault[] {
  return [
    ...findOwnCellFaults(cell),
    ...findSharedTokens(listOperatorTokens(cell)),
  ];
}

function findOwnCellFaults(cell: cellTree.CellPolicy): Fault[] {
  const domains = cell.failureDomains.flatMap((domain, index) =>
    cell.failureDomains.indexOf(domain) === index
      ? []
      : [createRepeatedDomainFault(index)],
  );
  const operators = Object.entries(cell.operators).flatMap(([name, operator]) =>
    operator.subtrees.flatMap((path, index) =>
      isSubtree(path) ? [] : [createUnknownSubtreeFault(name, index)],
    ),
  );
  return [...domains, ...operators];
}

/** Finds the faults in a team's subtree. */
export function findTeamFaults(team: cellTree.TeamPolicy): Fault[] {
  return Object.entries(team.operations).flatMap(([name, operation]) =>
    operation.estimateMs <= operation.timeoutMs
      ? []
      : [
          {
            path: ['operations', name, 'timeoutMs'],
            message: `contradicts estimateMs = ${operation.estimateMs}: no request could be answered before its timeout`,
            remedy: `Use at least ${operation.estimateMs} (milliseconds).`,
          },
        ],
  );
}

function prefixFaultPath(prefix: readonly string[], fault: Fault): Fault {
  return {...fault, path: [...prefix, ...fault.path]};
}

function isSubtree(path: string): boolean {
  return (
    path === subtreePath.WHOLE_TREE ||
    subtreePath.parseSubtreePath(path) !== undefined
  );
}

function createRepeatedDomainFault(index: number): Fault {
  return {
    path: ['failureDomains', index],
    message: 'the failure domain is listed twice',
    remedy: 'Keep one of the two.',
  };
}

function createUnknownSubtreeFault(operator: string, index: number): Fault {
  return {
    path: ['operators', operator, 'subtrees', index],
    message: 'there is no such subtree',
    remedy: 'Use cell, teams/TEAM or *.',
  };
}

function findMissingTeams(tree: cellTree.CellTree): Fault[] {
  return Object.entries(tree.cell.operators).flatMap(([name, operator]) =>
    operator.subtrees.flatMap((path, index) => {
      const parsedPath = subtreePath.parseSubtreePath(path);
      if (parsedPath?.type !== 'team' || parsedPath.team in tree.teams)
        return [];
      return [
        {
          path: ['cell', 'operators', name, 'subtrees', index],
          message: 'the tree has no such team',
          remedy: `Use a team of ${Object.keys(tree.teams).join(', ')}.`,
        },
      ];
    }),
  );
}

interface TokenLocation {
  readonly hash: string;
  readonly path: readonly string[];
}

function listOperatorTokens(cell: cellTree.CellPolicy): TokenLocation[] {
  return Object.entries(cell.operators).map(([name, operator]) => ({
    hash: operator.tokenHash,
    path: ['operators', name, 'tokenHash'],
  }));
}

function listTeamTokens(team: cellTree.TeamPolicy): TokenLocation[] {
  return team.tokenHashes.map((hash, index) => ({
    hash,
    path: ['tokenHashes', String(index)],
  }));
}

function listTreeTokens(tree: cellTree.CellTree): TokenLocation[] {
  const prefixPaths = (prefix: readonly string[], locations: TokenLocation[]) =>
    locations.map(({hash, path}) => ({hash, path: [...prefix, ...path]}));
  return [
    ...prefixPaths(['cell'], listOperatorTokens(tree.cell)),
    ...Object.entries(tree.teams).flatMap(([team, policy]) =>
      prefixPaths(['teams', team], listTeamTokens(policy)),
    ),
  ];
}

/**
 * Finds token hashes that are used more than once. Such a token does not
 * identify its owner: work of one team could be read by another team and billed
 * to it.
 */
function findSharedTokens(locations: readonly TokenLocation[]): Fault[] {
  return locations.flatMap(({hash, path}, index) => {
    const firstIndex = locations.findIndex(
      (location) => location.hash === hash,
    );
    const firstPath = locations[firstIndex]?.path.join('/') ?? '';
    if (firstIndex === index) return [];
    return [
      {
        path,
        message: `the same token hash is used at ${firstPath}`,
        remedy: 'Give each team and each operator a token of its own.',
      },
    ];
  });
}
