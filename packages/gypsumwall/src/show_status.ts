/** Implements `status` and `drain`. */
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';

/** Prints the entry's view of the cell and the age of each part. */
export async function showStatus(
  flags: callFlags.CallFlags & {readonly json: boolean},
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const call = {method: 'GET', path: '/v1/status'} as const;
  const status = await callEntry.callForJson(client, call);
  if (flags.json) return print(JSON.stringify(status, null, 2));
  formatLeaves(status, '').forEach((line) => print(line));
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

/** Formats one line for each value, such as `claim.epoch: 7`. */
function formatLeaves(value: unknown, path: string): string[] {
  if (typeof value !== 'object' || value === null) {
    return [`${path}: ${String(value)}`];
  }
  const entries = Object.entries(value);
  if (entries.length === 0) return [`${path}: none`];
  const prefix = path === '' ? '' : `${path}.`;
  return entries.flatMap(([key, child]) => formatLeaves(child, prefix + key));
}
