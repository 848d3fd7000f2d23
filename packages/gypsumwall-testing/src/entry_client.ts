/**
 * Client of one entry. It records each call and its outcome for the judge, also
 * when no complete answer arrived.
 */
import * as undici from 'undici';
import type * as types from '@gypsumwall/types';
import type * as history from './history.js';
import type * as historyEvent from './history_event.js';
import * as machineClock from './machine_clock.js';
import * as upstreamAnswer from './upstream_answer.js';

/** A quick request. */
export interface CallerRequest {
  readonly callId: string;
  readonly token: string;
  readonly team: string;
  readonly operation: string;
  readonly key?: string;
  readonly body: Buffer;
  readonly timeoutMs?: number;
}

/** A job to submit; `spec.work.args.label` must equal `label`. */
export interface CallerJob {
  readonly callId: string;
  readonly token: string;
  readonly team: string;
  readonly key?: string;
  readonly label: string;
  readonly spec: Readonly<Record<string, unknown>>;
}

/** A publish of a subtree of the configuration. */
export interface CallerPublish {
  readonly callId: string;
  readonly token: string;
  readonly path: string;
  /** Revision that the new value is based on, or -1 for none. */
  readonly base: number;
  readonly value: unknown;
}

/** A setting as an entry returned it. */
export interface SettingReading {
  readonly path: string;
  readonly revision: number;
  readonly value: unknown;
}

/**
 * Calls to one entry. None of them throws: a failure is returned as the call's
 * outcome.
 */
export interface EntryClient {
  readonly entryId: string;
  request(req: CallerRequest): Promise<historyEvent.RequestOutcome>;
  submit(job: CallerJob): Promise<historyEvent.JobOutcome>;
  /**
   * Returns the entry's view of the job; undefined if the call failed or the
   * entry has no such job.
   */
  job(token: string, jobId: string): Promise<types.job.JobView | undefined>;
  cancel(token: string, jobId: string): Promise<boolean>;
  publish(publish: CallerPublish): Promise<historyEvent.PublishOutcome>;
  setting(token: string, path: string): Promise<SettingReading | undefined>;
  isReady(): Promise<boolean>;
  drain(token: string): Promise<boolean>;
  status(token: string): Promise<unknown>;
  close(): Promise<void>;
}

/** Options of an entry's client. */
export interface EntryClientOptions {
  readonly entryId: string;
  readonly address: string;
  readonly recorded: history.History;
}

interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
}

/**
 * Longer than any deadline of the product, so that the product's own timeout
 * answers first.
 */
const CALL_TIMEOUT_MS = 30_000;

/** Creates a client of one entry. */
export function createEntryClient(options: EntryClientOptions): EntryClient {
  const {entryId, address, recorded} = options;
  const agent = new undici.Agent({connections: 256});

  const call = async (req: Call): Promise<Answer> => {
    const res = await undici.request(`${address}${req.path}`, {
      method: req.method,
      dispatcher: agent,
      headers: {
        ...(req.token === undefined
          ? {}
          : {authorization: `Bearer ${req.token}`}),
        ...(req.body === undefined ? {} : {'content-type': 'application/json'}),
        ...req.headers,
      },
      body: req.body ?? null,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const body = Buffer.from(await res.body.arrayBuffer());
    return {status: res.statusCode, headers: res.headers, body};
  };
  const tryCall = async (req: Call): Promise<Answer | undefined> => {
    try {
      return await call(req);
    } catch {
      return undefined;
    }
  };

  return {
    entryId,
    request: async (req) => {
      const {callId, team, operation, key = ''} = req;
      const bodyHash = upstreamAnswer.sha256Hex(req.body);
      recorded.record({
        type: 'request_sent',
        callId,
        entryId,
        team,
        operation,
        key,
        bodyHash,
      });
      const told = await outcomeOf(async () => {
        const answer = await call({
          method: 'POST',
          path: `/v1/requests/${encodeURIComponent(operation)}`,
          token: req.token,
          headers: {...keyHeader(req.key), ...timeoutHeader(req.timeoutMs)},
          body: req.body,
        });
        return readRequestAnswer(answer);
      });
      recorded.record({type: 'request_told', callId, told});
      return told;
    },
    submit: async (job) => {
      const {callId, team, key = '', label} = job;
      recorded.record({type: 'job_sent', callId, entryId, team, key, label});
      const told = await outcomeOf(async () => {
        const answer = await call({
          method: 'POST',
          path: '/v1/jobs',
          token: job.token,
          headers: keyHeader(job.key),
          body: JSON.stringify(job.spec),
        });
        return readJobAnswer(answer);
      });
      recorded.record({type: 'job_told', callId, label, told});
      return told;
    },
    job: async (token, jobId) => {
      const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
      const answer = await tryCall({method: 'GET', path, token});
      if (answer?.status === 404) {
        recorded.record({type: 'job_missing', entryId, jobId});
      }
      if (answer?.status !== 200) return undefined;
      const view = parseBody(answer) as types.job.JobView;
      recorded.record({type: 'job_seen', entryId, view});
      return view;
    },
    cancel: async (token, jobId) => {
      const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
      const answer = await tryCall({method: 'DELETE', path, token});
      const accepted = answer !== undefined && answer.status < 300;
      if (accepted) recorded.record({type: 'job_cancel_accepted', jobId});
      return accepted;
    },
    publish: async (publish) => {
      const {callId, path, base} = publish;
      const told = await outcomeOf(async () => {
        const answer = await call({
          method: 'PUT',
          path: `/v1/settings/${path}`,
          token: publish.token,
          headers: {'if-match': String(base)},
          body: JSON.stringify(publish.value),
        });
        return readPublishAnswer(answer);
      });
      recorded.record({
        type: 'publish_told',
        callId,
        entryId,
        path,
        base,
        told,
      });
      return told;
    },
    setting: async (token, path) => {
      const askedAt = machineClock.machineNow();
      const call = {
        method: 'GET' as const,
        path: `/v1/settings/${path}`,
        token,
      };
      const answer = await tryCall(call);
      if (answer?.status !== 200) return undefined;
      const reading = parseBody(answer) as SettingReading;
      const {revision} = reading;
      recorded.record({type: 'setting_seen', entryId, path, revision, askedAt});
      return reading;
    },
    isReady: async () => {
      const answer = await tryCall({method: 'GET', path: '/readyz'});
      return answer?.status === 200;
    },
    drain: async (token) => {
      const answer = await tryCall({method: 'POST', path: '/v1/drain', token});
      return answer !== undefined && answer.status < 300;
    },
    status: async (token) => {
      const answer = await tryCall({method: 'GET', path: '/v1/status', token});
      return answer?.status === 200 ? parseBody(answer) : undefined;
    },
    close: () => agent.destroy(),
  };
}

function keyHeader(key: string | undefined): Record<string, string> {
  return key === undefined ? {} : {'idempotency-key': key};
}

function timeoutHeader(timeoutMs: number | undefined): Record<string, string> {
  return timeoutMs === undefined
    ? {}
    : {'gypsumwall-timeout-ms': String(timeoutMs)};
}

function parseBody(answer: Answer): unknown {
  return JSON.parse(answer.body.toString('utf8'));
}

type BrokenOutcome = Extract<historyEvent.RequestOutcome, {type: 'broken'}>;

/** Returns the outcome of a call, or `broken` if no complete answer arrived. */
async function outcomeOf<Outcome>(
  ask: () => Promise<Outcome>,
): Promise<Outcome | BrokenOutcome> {
  try {
    return await ask();
  } catch (thrown) {
    const err = thrown as NodeJS.ErrnoException;
    const neverSent = err.code === 'ECONNREFUSED';
    return {type: 'broken', message: String(thrown), neverSent};
  }
}

/** Converts a problem+json answer to the outcome `not_run` or `unknown`. */
function readProblem(
  answer: Answer,
): Exclude<historyEvent.RequestOutcome, {type: 'done'}> {
  const problem = parseBody(answer) as {
    outcome?: string;
    reason?: string;
    detail?: string;
  };
  const {outcome, reason = '', detail = ''} = problem;
  const message = `status ${answer.status}: ${detail}`;
  if (outcome === 'not_run') return {type: 'not_run', reason, message};
  // If the answer names no outcome, the caller may not assume that nothing ran.
  return {type: 'unknown', message};
}

function readRequestAnswer(answer: Answer): historyEvent.RequestOutcome {
  if (answer.status !== 200) return readProblem(answer);
  const answerHash = upstreamAnswer.sha256Hex(answer.body);
  return {type: 'done', answerHash, bytes: answer.body.length};
}

function readJobAnswer(answer: Answer): historyEvent.JobOutcome {
  if (answer.status !== 202) return readProblem(answer);
  const {jobId} = parseBody(answer) as {jobId: string};
  return {type: 'accepted', jobId};
}

function readPublishAnswer(answer: Answer): historyEvent.PublishOutcome {
  if (answer.status === 200) {
    const {revision} = parseBody(answer) as {revision: number};
    return {type: 'accepted', revision};
  }
  const message = `status ${answer.status}: ${answer.body.toString('utf8')}`;
  return answer.status === 409
    ? {type: 'conflict', message}
    : {type: 'refused', message};
}
