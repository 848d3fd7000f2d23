/** Paths of the subtrees that can be published, and who may publish them. */

/** A subtree that can be published whole. */
export type SubtreePath =
  {readonly type: 'cell'} | {readonly type: 'team'; readonly team: string};

/** Shape of a team's name. */
export const TEAM_NAME = /^[a-z0-9-]+$/;

const TEAM_PREFIX = 'teams/';

/** Reads `cell` or `teams/<team>`; undefined for anything else. */
export function parseSubtreePath(path: string): SubtreePath | undefined {
  if (path === 'cell') return {type: 'cell'};
  if (!path.startsWith(TEAM_PREFIX)) return undefined;
  const team = path.slice(TEAM_PREFIX.length);
  return TEAM_NAME.test(team) ? {type: 'team', team} : undefined;
}

/** Stands for the whole tree in an operator's list. */
export const WHOLE_TREE = '*';

/** Whether an operator with these subtrees may publish at `path`. */
export function mayPublish(subtrees: readonly string[], path: string) {
  return subtrees.includes(WHOLE_TREE) || subtrees.includes(path);
}
