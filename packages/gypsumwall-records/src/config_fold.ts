/**
 * The settings tree as the log's order made it. A publish counts only if it
 * was based on the subtree's newest revision: of two operators who race, the
 * first in the log wins and the other is told so.
 */
import * as settings from '@gypsumwall/settings';
import type * as configRecords from './config_records.js';
import type * as streamFold from './stream_fold.js';

/** A subtree in force. */
export interface Subtree {
  /** Offset of the record that set it. */
  readonly revision: number;
  readonly value: unknown;
}

/** What became of the publish record at an offset. */
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
  /** Verdict on the publish at an offset, while it is remembered. */
  verdict(offset: number): PublishVerdict | undefined;
}

/** Revision of a subtree that was never published. */
export const NO_REVISION = -1;
/** Verdicts kept for the publishers that wait for them. */
const KEPT_VERDICTS = 1_000;

/** Makes an empty tree; `onChange` is told of each subtree that changed. */
export function createConfigFold(
  onChange: (path: configRecords.SubtreePath) => void = () => undefined,
): ConfigFold {
  const subtrees = new Map<configRecords.SubtreePath, Subtree>();
  const teams = new Map<string, settings.cellTree.TeamPolicy>();
  const verdicts = new Map<number, PublishVerdict>();
  let cell: settings.cellTree.CellPolicy | undefined;

  function install(path: string, subtree: Subtree): void {
    // Kept also where this version can't read it: a snapshot written by it
    // must not drop what a newer version has set. The policy that was in
    // force here stays in force.
    subtrees.set(path, subtree);
    const checked = settings.checkSubtree.checkSubtree(path, subtree.value);
    if (checked.isErr) return;
    const found = checked.value;
    switch (found.type) {
      case 'cell':
        cell = found.policy;
        break;
      case 'team':
        teams.set(found.team, found.policy);
        break;
    }
    onChange(path);
  }

  function inForce(): settings.checkSubtree.CheckedSubtree[] {
    const found = [...teams].map(([team, policy]) => ({
      type: 'team' as const,
      path: `teams/${team}`,
      team,
      policy,
    }));
    if (cell === undefined) return found;
    return [{type: 'cell', path: 'cell', policy: cell}, ...found];
  }

  function judge(
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
    const owner = settings.tokenHashes.findSharedTokenOwner(checked.value, inForce());
    if (owner !== undefined) {
      return {
        type: 'invalid',
        problems: [sharedToken(record.path, owner.path)],
      };
    }
    install(record.path, {revision: offset, value: record.value});
    return {type: 'in_force'};
  }

  return {
    apply: (offset, body) => {
      const record = body as configRecords.PublishRecord;
      if (record.type !== 'publish') return;
      verdicts.set(offset, judge(offset, record));
      if (verdicts.size > KEPT_VERDICTS) {
        verdicts.delete(Math.min(...verdicts.keys()));
      }
    },
    snapshot: () => JSON.stringify([...subtrees]),
    restore: (text) => {
      const entries = JSON.parse(text) as Array<[string, Subtree]>;
      for (const [path, subtree] of entries) {
        const held = subtrees.get(path)?.revision ?? NO_REVISION;
        if (subtree.revision > held) install(path, subtree);
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
 * An operator may write only the own team's subtree, but could copy another
 * team's hash into it. That team's callers would then count as this one's:
 * their work read, cancelled and billed by the wrong team. The first subtree
 * in the log's order keeps the hash.
 */
function sharedToken(
  path: string,
  owner: string,
): settings.settingsProblem.SettingsProblem {
  return {
    path,
    value: '(hidden)',
    message: `one of its token hashes stands in ${owner} already`,
    remedy: 'Give each team and each operator a token of its own.',
  };
}
