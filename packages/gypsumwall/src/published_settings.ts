/** Implements `settings get`, `settings diff` and `settings publish`. */
import * as settings from '@gypsumwall/settings';
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';
import * as fail from './fail.js';
import * as readSettings from './read_settings.js';

/** Revision number for a subtree that was never published. */
const NO_REVISION = -1;

const NOT_FOUND = 404;

/** A subtree in force. */
interface PublishedSubtree {
  readonly path: string;
  readonly revision: number;
  /** Undefined if the subtree was never published. */
  readonly value: unknown;
}

/** Flags of a command that compares a file with the settings in force. */
export interface FileFlags extends callFlags.CallFlags {
  readonly path?: string;
  readonly json: boolean;
}

/** Prints one subtree, or the list of all published subtrees. */
export async function getSettings(
  path: string | undefined,
  flags: callFlags.CallFlags & {readonly json: boolean},
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  if (path === undefined) return listSubtrees(client, flags.json, print);
  if (settings.subtreePath.parseSubtreePath(path) === undefined) {
    return fail.fail('usage', `no subtree ${path}. Use cell or teams/TEAM.`);
  }
  const subtree = await readSubtree(client, path);
  if (subtree.revision === NO_REVISION) {
    return fail.fail(
      'notFound',
      `nothing is published at ${path}. To list what is published, run: settings get`,
    );
  }
  if (flags.json) return print(JSON.stringify(subtree, null, 2));
  print(`// ${path}, revision ${subtree.revision}`);
  print(JSON.stringify(subtree.value, null, 2));
}

async function listSubtrees(
  client: entryClient.EntryClient,
  json: boolean,
  print: callFlags.Print,
): Promise<void> {
  const body = (await callEntry.callForJson(client, {
    method: 'GET',
    path: '/v1/settings',
  })) as {subtrees: PublishedSubtree[]};
  if (json) return print(JSON.stringify(body, null, 2));
  for (const {path, revision} of body.subtrees) {
    print(`${path}  revision ${revision}`);
  }
}

/** Prints what publishing the file would change; returns whether it would. */
export async function diffSettings(
  file: string,
  flags: FileFlags,
  print: callFlags.Print,
): Promise<boolean> {
  const client = entryClient.createEntryClient(flags);
  const changes: settings.settingsDiff.SettingsChange[] = [];
  for (const {path, value} of readSettings.readSubtrees(file, flags.path)) {
    const inForce = await readSubtree(client, path);
    changes.push(...diffSubtree(path, inForce.value, value));
  }
  if (flags.json) print(JSON.stringify({changes}, null, 2));
  else changes.forEach((change) => print(describeChange(change)));
  return changes.length > 0;
}

function describeChange(change: settings.settingsDiff.SettingsChange): string {
  const {path, before = '(absent)', after = '(absent)'} = change;
  return `${path}: ${before} -> ${after}`;
}

/** Publishes each subtree of the file that differs from the one in force. */
export async function publishSettings(
  file: string,
  flags: FileFlags & {readonly base?: number},
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const published: {path: string; revision: number}[] = [];
  for (const subtree of readSettings.readSubtrees(file, flags.path)) {
    const inForce = await readSubtree(client, subtree.path);
    const base = flags.base ?? inForce.revision;
    const changes = diffSubtree(subtree.path, inForce.value, subtree.value);
    if (flags.base === undefined && changes.length === 0) continue;
    const revision = await publishSubtree(client, subtree, base);
    published.push({path: subtree.path, revision});
    if (!flags.json) print(`${subtree.path}  revision ${revision}`);
  }
  if (flags.json) print(JSON.stringify({published}, null, 2));
  else if (published.length === 0) print('nothing differs; nothing published');
}

async function publishSubtree(
  client: entryClient.EntryClient,
  subtree: readSettings.Subtree,
  base: number,
): Promise<number> {
  const body = (await callEntry.callForJson(client, {
    method: 'PUT',
    path: `/v1/settings/${subtree.path}`,
    headers: {'if-match': String(base), 'content-type': 'application/json'},
    body: JSON.stringify(subtree.value),
  })) as {revision: number};
  return body.revision;
}

/** Effective changes: writing out a default value isn't a change. */
function diffSubtree(
  path: string,
  before: unknown,
  after: unknown,
): settings.settingsDiff.SettingsChange[] {
  return settings.settingsDiff.diffSettings(
    withDefaults(path, before),
    withDefaults(path, after),
    path.split('/'),
  );
}

/** The value with defaults, or unchanged if this version rejects it. */
function withDefaults(path: string, value: unknown): unknown {
  const checked = settings.checkSubtree.checkSubtree(path, value);
  return checked.isOk ? checked.value.policy : value;
}

async function readSubtree(
  client: entryClient.EntryClient,
  path: string,
): Promise<PublishedSubtree> {
  const answer = callEntry.valueOrFail(
    await client.call({method: 'GET', path: `/v1/settings/${path}`}),
  );
  if (isUnpublished(answer)) {
    callEntry.valueOrFail(await answer.text());
    return {path, revision: NO_REVISION, value: undefined};
  }
  await callEntry.failUnlessOk(answer);
  return (await callEntry.readJson(answer)) as PublishedSubtree;
}

/** Whether an entry, and not a balancer, answered with status 404. */
function isUnpublished(answer: entryClient.EntryAnswer): boolean {
  return (
    answer.status === NOT_FOUND &&
    answer.header('gypsumwall-outcome') === 'not_run'
  );
}
