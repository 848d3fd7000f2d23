/** Upstreams in process whose answers a test decides one by one. */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';

/** One attempt that reached an upstream and waits for the test's word. */
export interface PendingAttempt {
  readonly upstream: string;
  readonly req: platform.upstream.UpstreamRequest;
  done(): void;
  fail(
    kind: types.stepError.StepErrorKind,
    effect: types.stepError.Effect,
  ): void;
}

/** All upstreams of a test. */
export interface FakeUpstreams {
  /** Every attempt so far, in order. */
  readonly attempts: PendingAttempt[];
  /** Connections each upstream was last told to keep to. */
  readonly connections: Map<string, number>;
  make(
    listed: platform.instanceList.ListedUpstream,
    connections: number,
  ): platform.upstream.Upstream;
}

/** Makes upstreams that answer nothing by themselves but an abort. */
export function createFakeUpstreams(): FakeUpstreams {
  const attempts: PendingAttempt[] = [];
  const connections = new Map<string, number>();
  const make: FakeUpstreams['make'] = (listed, wanted) => {
    connections.set(listed.id, wanted);
    return {
      execute: (req) =>
        new Promise((resolve) => {
          const fail: PendingAttempt['fail'] = (kind, effect) =>
            resolve(result.err(makeError(listed.id, kind, effect)));
          req.signal?.addEventListener('abort', () =>
            fail('closed', 'unknown'),
          );
          const done = () => resolve(result.ok(makeAnswer()));
          attempts.push({upstream: listed.id, req, done, fail});
        }),
      setMaxConnections: (count) => void connections.set(listed.id, count),
      close: () => Promise.resolve(),
    };
  };
  return {attempts, connections, make};
}

function makeAnswer(): platform.upstream.UpstreamAnswer {
  const body = new stream.PassThrough();
  body.end('whole');
  return {contentType: 'text/plain', contentLength: 5, body};
}

function makeError(
  peer: string,
  kind: types.stepError.StepErrorKind,
  effect: types.stepError.Effect,
): types.stepError.StepError {
  return {kind, effect, peer, step: 'upstream.execute', message: kind};
}

/** A live upstream as the platform lists it. */
export function makeListed(
  id: string,
  slots = 8,
): platform.instanceList.ListedUpstream {
  return {
    kind: 'upstream',
    id: types.ids.brand<types.ids.UpstreamId>(id),
    failureDomain: types.ids.brand<types.ids.FailureDomain>('bkk-a'),
    address: `http://127.0.0.1:0/${id}`,
    state: 'live',
    slots,
    connections: slots * 8,
  };
}
