/** HTTP client for the calls of the platform and its callers to the entries. */
import * as undici from 'undici';
import type * as caller from '../model/caller.js';
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';
import type * as operator from '../model/operator.js';
import * as jobBody from './job_body.js';

/** The addresses on which an entry listens, each as `host:port`. */
export interface EntryAddresses {
  readonly callers: string;
  readonly readiness: string;
  /** Includes the path. */
  readonly metrics: string;
}

/** Client for all entries. */
export interface EntryClient {
  readonly send: caller.SendCall;
  isReady(entry: string): Promise<boolean>;
  /** Reads a gauge of the entry's metrics; undefined if the entry doesn't answer. */
  readGauge(entry: string, name: string): Promise<number | undefined>;
  close(): Promise<void>;
}

/** Options of {@link createEntryClient}. */
export interface EntryClientOptions {
  readonly entries: ReadonlyMap<string, EntryAddresses>;
  readonly queues: readonly operator.QueuePolicy[];
}

const PROBE_TIMEOUT_MS = 500;
const MAX_CONNECTIONS = 64;
const METHODS = {submit: 'POST', state: 'GET', cancel: 'DELETE'} as const;
const JOB_STATES: ReadonlySet<string> = new Set<history.JobState>([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** Creates the client. */
export function createEntryClient(options: EntryClientOptions): EntryClient {
  const agent = new undici.Agent({connections: MAX_CONNECTIONS});

  async function get(url: string): Promise<string | undefined> {
    try {
      const answer = await undici.request(url, {
        dispatcher: agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      return answer.statusCode === 200 ? text : undefined;
    } catch {
      return undefined;
    }
  }

  async function send(
    entry: string,
    kind: caller.CallKind,
    job: jobCatalog.JobSpec,
    timeoutMs: number,
    key: string | undefined,
  ): Promise<caller.CallAnswer> {
    const queue = options.queues.find(({name}) => name === job.queue);
    const address = options.entries.get(entry)?.callers;
    if (queue === undefined || address === undefined) {
      throw new Error(`${entry}, ${job.queue}: no such entry or queue`);
    }
    const url = `http://${address}${queue.pathPrefix}${job.jobId}`;
    const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
    try {
      const answer = await undici.request(url, {
        dispatcher: agent,
        method: METHODS[kind],
        headers: {
          host: queue.host,
          'content-type': 'application/json',
          ...(key !== undefined && {authorization: `Bearer ${key}`}),
        },
        body: kind === 'submit' ? jobBody.encodeJob(job) : null,
        signal,
      });
      return decodeAnswer(answer.statusCode, await answer.body.text());
    } catch {
      return {type: 'unknown'};
    }
  }

  return {
    send,
    close: () => agent.destroy(),
    async isReady(entry) {
      const address = options.entries.get(entry)?.readiness ?? '';
      return (await get(`http://${address}/v1/readyz`)) !== undefined;
    },
    async readGauge(entry, name) {
      const address = options.entries.get(entry)?.metrics ?? '';
      const text = (await get(`http://${address}`)) ?? '';
      const found = new RegExp(`^\\w*${name} (\\S+)$`, 'm').exec(text);
      return found === null ? undefined : Number(found[1]);
    },
  };
}

function decodeAnswer(status: number, text: string): caller.CallAnswer {
  if (status === 200) return {type: 'ok', state: extractState(text)};
  if (status === 401) return {type: 'unauthorised'};
  if (status === 404 || status === 410) return {type: 'absent'};
  if (status >= 400 && status < 500) return {type: 'refused'};
  if (status === 503) return {type: 'refused'};
  return {type: 'unknown'};
}

function extractState(text: string): history.JobState | undefined {
  const {state} = JSON.parse(text) as {state?: string};
  if (state === undefined || !JOB_STATES.has(state)) return undefined;
  return state as history.JobState;
}
