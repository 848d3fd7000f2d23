/**
 * The settings tree, folded from its stream in log order. A publish takes
 * effect only if it was based on the subtree's newest revision: of two
 * concurrent publishes, the first in the log wins and the other is refused.
 */
import * as settings from '@gypsumwall/settings';
import type * as configRecords from './config_records.js';
import type * as streamFold from './stream_fold.js';

/** A subtree in force. Stored in snapshots; the field names must stay. */
export interface Subtree {
  /** Offset of the record that set it. */
  readonly revision: number;
  readonly value: unknown;
}

/** Result of the publish record at an offset. */
export type PublishVerdict =
  | {readonly type: 'in_force'}
  | {readonly type: 'conflict'; readonly newest: number}
  | {
      readonly type: 'invalid';
      readonly problems: readonly settings.settingsProblem.SettingsProblem[];
    };

/** The settings tree. */
export interface ConfigFold extends streamFold.StreamFold {
  subtree(path: configRecords.SubtreePath): Subtree | undefined;
  paths(): readonly configRecords.SubtreePath[];
  cell(): settings.cellTree.CellPolicy | undefined;
  team(id: string): settings.cellTree.TeamPolicy | undefined;
  teams(): ReadonlyMap<string, settings.cellTree.TeamPolicy>;
  /** Result of the publish at an offset; undefined if it is no longer kept. */
  verdict(offset: number): PublishVerdict | undefined;
}

/** Revision of a subtree that has never been published. */
export const NO_REVISION = -1;
/** Verdicts are kept for the publishers that wait for them. */
const MAX_KEPT_VERDICTS = 1_000;

/** Creates an empty tree; `onChange` is called for each changed subtree. */
export function createConfigFold(
  onChange: (path: configRecords.SubtreePath) => void = () => undefined,
): ConfigFold {
  const subtrees = new Map<configRecords.SubtreePath, Subtree>();
  const teams = new Map<string, settings.cellTree.TeamPolicy>();
  const verdicts = new Map<number, PublishVerdict>();
  let cell: settings.cellTree.CellPolicy | undefined;

  function install(path: string, subtree: Subtree): void {
    // The subtree is kept even if this version can't read it, so that its
    // snapshots don't drop settings of a newer version. Such a subtree does
    // not change the policy that is in force here.
    subtrees.set(path, subtree);
    const checked = settings.checkSubtree.checkSubtree(path, subtree.value);
    if (checked.isErr) return;
    const checkedSubtree = checked.value;
    switch (checkedSubtree.type) {
      case 'cell':
        cell = checkedSubtree.policy;
        break;
      case 'team':
        teams.set(checkedSubtree.team, checkedSubtree.policy);
        break;
    }
    onChange(path);
  }

  function currentSubtrees(): settings.checkSubtree.CheckedSubtree[] {
    const subtreesInForce = [...teams].map(([team, policy]) => ({
      type: 'team' as const,
      path: `teams/${team}`,
      team,
      policy,
    }));
    if (cell === undefined) return subtreesInForce;
    return [{type: 'cell', path: 'cell', policy: cell}, ...subtreesInForce];
  }

  function applyPublish(
    offset: number,
    record: configRecords.PublishRecord,
  ): PublishVerdict {
    const newest = subtrees.get(record.path)?.revision ?? NO_REVISION;
    if (record.base !== newest) return {type: 'conflict', newest};
    const checked = settings.checkSubtree.checkSubtree(
      record.path,
      record.value,
    );
    if (checked.isErr) return {type: 'invalid', problems: checked.error};
    const owner = settings.tokenHashes.findSharedTokenOwner(
      checked.value,
      currentSubtrees(),
    );
    if (owner !== undefined) {
      return {
        type: 'invalid',
        problems: [sharedTokenProblem(record.path, owner.path)],
      };
    }
    install(record.path, {revision: offset, value: record.value});
    return {type: 'in_force'};
  }

  return {
    apply: (offset, body) => {
      const record = body as configRecords.PublishRecord;
      if (record.type !== 'publish') return;
      verdicts.set(offset, applyPublish(offset, record));
      if (verdicts.size > MAX_KEPT_VERDICTS) {
        verdicts.delete(Math.min(...verdicts.keys()));
      }
    },
    snapshot: () => JSON.stringify([...subtrees]),
    restore: (text) => {
      const entries = JSON.parse(text) as Array<[string, Subtree]>;
      for (const [path, subtree] of entries) {
        const currentRevision = subtrees.get(path)?.revision ?? NO_REVISION;
        if (subtree.revision > currentRevision) install(path, subtree);
      }
    },
    subtree: (path) => subtrees.get(path),
    paths: () => [...subtrees.keys()].sort(),
    cell: () => cell,
    team: (id) => teams.get(id),
    teams: () => teams,
    verdict: (offset) => verdicts.get(offset),
  };
}

/**
 * The problem of a token hash that another subtree already has. An operator may
 * publish only their own team's subtree, but could copy another team's hash
 * into it. That team's callers would then be taken for this team, which could
 * read and cancel their work and be billed for it. The first subtree in log
 * order keeps the hash.
 */
function sharedTokenProblem(
  path: string,
  owner: string,
): settings.settingsProblem.SettingsProblem {
  return {
    path,
    value: '(hidden)',
    message: `one of its token hashes is already used in ${owner}`,
    remedy: 'Give each team and each operator a token of its own.',
  };
}
