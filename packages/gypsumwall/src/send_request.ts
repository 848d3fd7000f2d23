/** Implements `request`: sends one request and prints its answer. */
import * as events from 'node:events';
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';
import * as readInput from './read_input.js';

/** Flags of `request`. */
export interface RequestFlags extends callFlags.CallFlags {
  readonly body?: string;
  readonly data?: string;
  readonly key?: string;
  readonly 'content-type': string;
  readonly json: boolean;
}

/**
 * Sends the request and streams the answer to standard output. If the answer
 * ends early, the received part is printed and the command ends with an error.
 */
export async function sendRequest(
  operation: string,
  flags: RequestFlags,
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const answer = callEntry.valueOrFail(
    await client.call({
      method: 'POST',
      path: `/v1/requests/${encodeURIComponent(operation)}`,
      headers: headersOf(flags),
      body: bodyOf(flags),
    }),
  );
  await callEntry.failUnlessOk(answer);
  if (flags.json) return printAsJson(answer, print);
  callEntry.valueOrFail(await answer.pipe(writeToStdout));
}

function headersOf(flags: RequestFlags): Record<string, string> {
  const headers = {'content-type': flags['content-type']};
  if (flags.key === undefined) return headers;
  return {...headers, 'idempotency-key': flags.key};
}

function bodyOf(flags: RequestFlags): string {
  if (flags.body !== undefined) return readInput.readInput(flags.body);
  return flags.data ?? '';
}

async function printAsJson(
  answer: entryClient.EntryAnswer,
  print: callFlags.Print,
): Promise<void> {
  const body = callEntry.valueOrFail(await answer.text());
  const outcome = answer.header('gypsumwall-outcome');
  const requestId = answer.header('gypsumwall-request-id');
  print(JSON.stringify({outcome, requestId, body}, null, 2));
}

async function writeToStdout(chunk: Uint8Array): Promise<void> {
  if (process.stdout.write(chunk)) return;
  await events.EventEmitter.once(process.stdout, 'drain');
}
