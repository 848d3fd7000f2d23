/** Calls an entry over HTTP, with the caller's token. */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as types from '@gypsumwall/types';
import type * as callFlags from './call_flags.js';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

/** One call. */
export interface EntryCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with a leading slash. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** An answer whose head has arrived. */
export interface EntryAnswer {
  readonly status: number;
  header(name: string): string | undefined;
  /** The whole body. */
  text(): Promise<result.Result<string, LostCall>>;
  /** Hands on the body piece by piece. */
  pipe(
    write: (piece: Uint8Array) => Promise<void>,
  ): Promise<result.Result<void, LostCall>>;
}

/** A call without a whole answer. */
export interface LostCall {
  /** Whether the entry may have got the call. */
  readonly effect: types.stepError.Effect;
  readonly message: string;
}

/** Calls one entry. */
export interface EntryClient {
  /** Address of the entry. */
  readonly origin: string;
  call(call: EntryCall): Promise<result.Result<EntryAnswer, LostCall>>;
}

/** How long a call without a limit of its own is waited for, in ms. */
const DEFAULT_WAIT_MS = 60_000;
/** Time beyond the caller's limit in which an entry can still answer, in ms. */
const ANSWER_MARGIN_MS = 2_000;

/** Faults of a connection that never came about: nothing was sent. */
const CONNECT_FAULTS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A client for the entry and the token that the flags name. */
export function createEntryClient(flags: callFlags.CallFlags): EntryClient {
  const origin = readOrigin(flags.entry);
  const token = readToken(flags['token-file']);
  const timeoutMs = flags['timeout-ms'];
  return {
    origin,
    call: async (call) => {
      const waitMs = timeoutMs ?? DEFAULT_WAIT_MS;
      const signal = AbortSignal.timeout(waitMs + ANSWER_MARGIN_MS);
      try {
        const res = await undici.request(`${origin}${call.path}`, {
          method: call.method,
          headers: {
            authorization: `Bearer ${token}`,
            ...timeoutHeader(timeoutMs),
            ...call.headers,
          },
          body: call.body,
          signal,
        });
        return result.ok(answerOf(res));
      } catch (thrown) {
        return result.err(lostCall(origin, call, thrown));
      }
    },
  };
}

function answerOf(res: undici.Dispatcher.ResponseData): EntryAnswer {
  return {
    status: res.statusCode,
    header: (name) => {
      const value = res.headers[name];
      return Array.isArray(value) ? value[0] : value;
    },
    text: async () => {
      try {
        return result.ok(await res.body.text());
      } catch (thrown) {
        return result.err(brokenAnswer(thrown));
      }
    },
    pipe: async (write) => {
      try {
        for await (const piece of res.body) await write(piece as Uint8Array);
        return result.ok(undefined);
      } catch (thrown) {
        return result.err(brokenAnswer(thrown));
      }
    },
  };
}

function timeoutHeader(timeoutMs: number | undefined): Record<string, string> {
  if (timeoutMs === undefined) return {};
  return {'gypsumwall-timeout-ms': String(timeoutMs)};
}

/** A read changes nothing, whether the entry got it or not. */
function lostCall(entry: string, call: EntryCall, thrown: unknown): LostCall {
  const code = String((thrown as {code?: unknown}).code);
  const proved = call.method === 'GET' || CONNECT_FAULTS.has(code);
  const cause = types.stepError.messageOf(thrown);
  return {
    effect: proved ? 'not_run' : 'unknown',
    message: `no answer from ${entry}: ${cause}`,
  };
}

function brokenAnswer(thrown: unknown): LostCall {
  const cause = types.stepError.messageOf(thrown);
  return {effect: 'unknown', message: `the answer broke off: ${cause}`};
}

function readOrigin(entry: string | undefined): string {
  if (entry === undefined) {
    return fail.fail(
      'usage',
      'no entry to call. Name one with --entry URL, or set GYPSUMWALL_ENTRY.',
    );
  }
  const url = URL.canParse(entry) ? new URL(entry) : undefined;
  if (url?.protocol === 'http:' || url?.protocol === 'https:') {
    return url.origin;
  }
  return fail.fail(
    'usage',
    `--entry ${entry} is no HTTP address. Write it as http://10.0.0.5:7000.`,
  );
}

function readToken(file: string | undefined): string {
  const text =
    file === undefined
      ? process.env['GYPSUMWALL_TOKEN']
      : readInput.readInput(file);
  const token = text?.trim() ?? '';
  const origin = file ?? 'GYPSUMWALL_TOKEN';
  if (token === '') {
    return fail.fail(
      'forbidden',
      `no token in ${origin}. Name a file with --token-file, or set GYPSUMWALL_TOKEN.`,
    );
  }
  if (!/^[\x21-\x7e]+$/.test(token)) {
    return fail.fail(
      'forbidden',
      `the token in ${origin} has blanks or other signs that no token has. Keep one token and nothing else there.`,
    );
  }
  return token;
}
