/** Calls an entry over HTTP, with the caller's token. */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as types from '@gypsumwall/types';
import type * as callFlags from './call_flags.js';
import * as fail from './fail.js';
import * as readInput from './read_input.js';

/** One call to an entry. */
export interface EntryCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with a leading slash. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** A response whose status and headers have arrived. */
export interface EntryAnswer {
  readonly status: number;
  header(name: string): string | undefined;
  /** Reads the whole body. */
  text(): Promise<result.Result<string, FailedCall>>;
  /** Passes the chunks of the body to `write`, one after another. */
  pipe(
    write: (chunk: Uint8Array) => Promise<void>,
  ): Promise<result.Result<void, FailedCall>>;
}

/** A call without a complete response. */
export interface FailedCall {
  /** Whether the call may have taken effect. */
  readonly effect: types.stepError.Effect;
  readonly message: string;
}

/** Client of one entry. */
export interface EntryClient {
  /** Address of the entry. */
  readonly origin: string;
  call(call: EntryCall): Promise<result.Result<EntryAnswer, FailedCall>>;
}

/** Timeout of calls without `--timeout-ms`. */
const DEFAULT_CALL_TIMEOUT_MS = 60_000;
/** Extra wait after the call's timeout, for the entry's own timeout response. */
const ANSWER_MARGIN_MS = 2_000;

/** Error codes of failed connection attempts; nothing was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether the calls of a client need a token. */
export type ClientAccess = 'with_token' | 'without_token';

/** Creates a client with the entry and the token that the flags name. */
export function createEntryClient(
  flags: callFlags.CallFlags,
  access: ClientAccess = 'with_token',
): EntryClient {
  const origin = parseOrigin(flags.entry);
  const authorization =
    access === 'with_token'
      ? {authorization: `Bearer ${readToken(flags['token-file'])}`}
      : {};
  const timeoutMs = flags['timeout-ms'];
  return {
    origin,
    call: async (call) => {
      const callTimeoutMs = timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
      const signal = AbortSignal.timeout(callTimeoutMs + ANSWER_MARGIN_MS);
      try {
        const res = await undici.request(`${origin}${call.path}`, {
          method: call.method,
          headers: {
            ...authorization,
            ...timeoutHeader(timeoutMs),
            ...call.headers,
          },
          body: call.body,
          signal,
        });
        return result.ok(toAnswer(res));
      } catch (thrown) {
        return result.err(toFailedCall(origin, call, thrown));
      }
    },
  };
}

function toAnswer(res: undici.Dispatcher.ResponseData): EntryAnswer {
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
        return result.err(toIncompleteAnswer(thrown));
      }
    },
    pipe: async (write) => {
      try {
        for await (const chunk of res.body) await write(chunk as Uint8Array);
        return result.ok(undefined);
      } catch (thrown) {
        return result.err(toIncompleteAnswer(thrown));
      }
    },
  };
}

function timeoutHeader(timeoutMs: number | undefined): Record<string, string> {
  if (timeoutMs === undefined) return {};
  return {'gypsumwall-timeout-ms': String(timeoutMs)};
}

/**
 * The failure of a call without a response. A GET never has an effect, whether
 * the entry received it or not.
 */
function toFailedCall(
  entry: string,
  call: EntryCall,
  thrown: unknown,
): FailedCall {
  const code = String((thrown as {code?: unknown}).code);
  const hasNoEffect = call.method === 'GET' || CONNECT_ERROR_CODES.has(code);
  const cause = types.stepError.messageOf(thrown);
  return {
    effect: hasNoEffect ? 'not_run' : 'unknown',
    message: `no answer from ${entry}: ${cause}`,
  };
}

function toIncompleteAnswer(thrown: unknown): FailedCall {
  const cause = types.stepError.messageOf(thrown);
  return {effect: 'unknown', message: `the answer ended early: ${cause}`};
}

function parseOrigin(entry: string | undefined): string {
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
    `--entry ${entry} is not an HTTP address. Use the form http://10.0.0.5:7000.`,
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
      `the token in ${origin} has blanks or other characters that a token can't have. It must hold one token and nothing else.`,
    );
  }
  return token;
}
