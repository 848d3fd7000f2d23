/**
 * The calls between entries: JSON over HTTP on persistent connections. Entries
 * ask the adviser on the holder's behalf, with some forty calls a second; at
 * that rate a Connect call would cost five times the processor time.
 */
import * as result from 'true-myth/result';
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as jobServiceTypes from './job_service_types.js';
import * as httpClient from './http_client.js';
import type * as ports from './ports.js';

/** Path of an advice request. */
export const ADVISE_PATH = '/advise';

/** An advice request to be sent to the adviser. */
export interface AdviseReq {
  readonly stepRunId: string;
  readonly workers: readonly types.ids.WorkerId[];
  readonly timeoutMs: number;
}

/** The adviser's answer: pairs of worker and approval. */
export interface AdviseRes {
  readonly approved: readonly (readonly [types.ids.WorkerId, string])[];
}

/** Added to the time that the peer waits for the adviser; milliseconds. */
const HOP_ALLOWANCE_MS = 200;

/** The adviser as reached through a peer. */
export function createPeerAdviser(
  client: httpClient.HttpClient,
): ports.Adviser {
  return {
    async ask(stepRunId, workers, timeoutMs) {
      const req: AdviseReq = {stepRunId, workers, timeoutMs};
      const answer = await client.call({
        step: 'peer.advise',
        method: 'POST',
        path: ADVISE_PATH,
        body: JSON.stringify(req),
        timeoutMs: timeoutMs + HOP_ALLOWANCE_MS,
      });
      if (result.isErr(answer)) return result.err(answer.error);
      if (answer.value.status !== 200) {
        return httpClient.failWithStatus(
          'peer.advise',
          client.address,
          answer.value,
        );
      }
      return httpClient.decodeAnswer(
        'peer.advise',
        client.address,
        answer.value,
        (body) => new Map((JSON.parse(body.toString()) as AdviseRes).approved),
      );
    },
  };
}

/** Path of a ping. */
export const PING_PATH = '/ping';

/** Whether the peer answers in time, with any status. */
export async function ping(
  client: httpClient.HttpClient,
  timeoutMs: number,
): Promise<boolean> {
  const answer = await client.call({
    step: 'peer.ping',
    method: 'GET',
    path: PING_PATH,
    timeoutMs,
  });
  return result.isOk(answer);
}

/** Path of a caller's call that is forwarded to a peer. */
export const RELAY_PATH = '/relay';

/**
 * A caller's call, forwarded by an entry that the store refuses or whose
 * replica is stale.
 */
export type RelayReq =
  | {
      readonly type: 'submit';
      readonly id: types.ids.JobId;
      /** Absent if callers need no key, and in calls of older entries. */
      readonly caller?: organisations.keyDirectory.Caller;
      readonly policy: scheduling.jobRequest.QueuePolicy;
      readonly request: scheduling.jobRequest.JobRequest;
    }
  | {
      readonly type: 'cancel';
      readonly id: types.ids.JobId;
      readonly caller?: organisations.keyDirectory.Caller;
      readonly queue: string;
    }
  | {
      readonly type: 'phase';
      readonly id: types.ids.JobId;
      readonly caller?: organisations.keyDirectory.Caller;
      readonly queue: string;
    }
  | {readonly type: 'pending'; readonly queue: string};

/** The answer of the peer's local job service. */
export type RelayRes = jobServiceTypes.JobServiceAnswer<unknown>;

/** Forwards a call to a peer; all such calls are idempotent. */
export async function relay(
  client: httpClient.HttpClient,
  req: RelayReq,
  timeoutMs: number,
): ports.Answer<RelayRes> {
  const answer = await client.call({
    step: `peer.relay ${req.type}`,
    method: 'POST',
    path: RELAY_PATH,
    body: JSON.stringify(req),
    timeoutMs,
  });
  if (result.isErr(answer)) return result.err(answer.error);
  if (answer.value.status !== 200) {
    return httpClient.failWithStatus(
      'peer.relay',
      client.address,
      answer.value,
    );
  }
  return httpClient.decodeAnswer(
    `peer.relay ${req.type}`,
    client.address,
    answer.value,
    decodeRelayRes,
  );
}

const ANSWER_TYPES: ReadonlySet<unknown> = new Set<RelayRes['type']>([
  'ok',
  'not_run',
  'unknown',
  'absent',
  'outdated_caller',
  'invalid',
]);

/** Throws for an answer of another version, which may mean anything. */
function decodeRelayRes(body: Buffer): RelayRes {
  const res = JSON.parse(body.toString()) as {readonly type?: unknown} | null;
  if (ANSWER_TYPES.has(res?.type)) return res as RelayRes;
  throw new Error(`type = ${String(res?.type)}: this version doesn't know it`);
}
