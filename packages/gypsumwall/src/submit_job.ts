/** Implements `submit`: sends a job to an entry. */
import * as nodeCrypto from 'node:crypto';
import * as settings from '@gypsumwall/settings';
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';
import * as readInput from './read_input.js';
import * as readSettings from './read_settings.js';

/** Flags of `submit`. */
export interface SubmitFlags extends callFlags.CallFlags {
  readonly key?: string;
  readonly json: boolean;
}

/**
 * Submits the job in `file` and prints its id. A generated key is printed first:
 * if the answer is lost, a repeated call with the same key finds the job that may
 * have been accepted.
 */
export async function submitJob(
  file: string,
  flags: SubmitFlags,
  print: callFlags.Print,
  warn: callFlags.Print,
): Promise<void> {
  const document = settings.readJsonc.readJsonc(
    readInput.readInput(file),
    file,
  );
  if (document.isErr) return readSettings.failWithProblems(document.error);
  const client = entryClient.createEntryClient(flags);
  const key = flags.key ?? nodeCrypto.randomUUID();
  if (flags.key === undefined) warn(`idempotency key: ${key}`);
  const body = (await callEntry.callForJson(client, {
    method: 'POST',
    path: '/v1/jobs',
    headers: {'idempotency-key': key, 'content-type': 'application/json'},
    body: JSON.stringify(document.value.value),
  })) as {jobId: string};
  print(flags.json ? JSON.stringify({...body, key}, null, 2) : body.jobId);
}
