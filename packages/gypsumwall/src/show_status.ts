/** `status` and `drain`: what an entry believes, and its planned stop. */
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';

/** Prints what the entry believes, and how old each belief is. */
export async function showStatus(
  flags: callFlags.CallFlags & {readonly json: boolean},
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const call = {method: 'GET', path: '/v1/status'} as const;
  const status = await callEntry.callForJson(client, call);
  if (flags.json) return print(JSON.stringify(status, null, 2));
  leavesOf(status, '').forEach((line) => print(line));
}

/** Starts the planned stop of the entry. */
export async function drainEntry(
  flags: callFlags.CallFlags,
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  await callEntry.callForJson(client, {method: 'POST', path: '/v1/drain'});
  print(`${client.origin}: draining`);
}

/** One line for each value: `claim.epoch: 7`. */
function leavesOf(value: unknown, path: string): string[] {
  if (typeof value !== 'object' || value === null) {
    return [`${path}: ${String(value)}`];
  }
  const entries = Object.entries(value);
  if (entries.length === 0) return [`${path}: none`];
  const prefix = path === '' ? '' : `${path}.`;
  return entries.flatMap(([key, below]) => leavesOf(below, prefix + key));
}
