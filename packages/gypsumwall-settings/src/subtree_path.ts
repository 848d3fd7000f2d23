/** Paths of the subtrees that can be published, and permissions for them. */

/** A subtree that can be published. */
export type SubtreePath =
  {readonly type: 'cell'} | {readonly type: 'team'; readonly team: string};

/** Pattern of the names of teams. */
export const TEAM_NAME_PATTERN = /^[a-z0-9-]+$/;

const TEAM_PREFIX = 'teams/';

/** Parses `cell` or `teams/<team>`; returns undefined for anything else. */
export function parseSubtreePath(path: string): SubtreePath | undefined {
  if (path === 'cell') return {type: 'cell'};
  if (!path.startsWith(TEAM_PREFIX)) return undefined;
  const team = path.slice(TEAM_PREFIX.length);
  return TEAM_NAME_PATTERN.test(team) ? {type: 'team', team} : undefined;
}

/** In an operator's list of subtrees, this value allows all of them. */
export const WHOLE_TREE = '*';

/** Whether an operator with these subtrees may publish at `path`. */
export function mayPublish(subtrees: readonly string[], path: string) {
  return subtrees.includes(WHOLE_TREE) || subtrees.includes(path);
}
