import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as ports from '../ports.js';
import type * as workerChannelClient from '../worker_channel_client.js';
import * as workerRoutes from '../worker_routes.js';

const {test} = nodeTest;
const domain = (name: string) => types.ids.brand<types.ids.FailureDomain>(name);
const POLL = {token: 1, acknowledged: 0, waitMs: 0, timeoutMs: 100};
const CLOSED: types.stepError.StepError = {
  kind: 'unreachable',
  step: 'peer.stream',
  peer: 'p',
  effect: 'unknown',
  message: 'injected fault',
};

/** Routes of a holder that can poll one worker, with two peers. */
function createRoutes() {
  const calledBy: string[] = [];
  const channels = new Map<string, workerChannelClient.WorkerChannelOptions>();
  let fails = false;
  const routes = workerRoutes.createWorkerRoutes({
    cores: 1 / 100,
    peers: () => [
      {instance: 'p1', domain: domain('d1'), cores: 0.1, address: 'p1'},
      {instance: 'p2', domain: domain('d2'), cores: 0.1, address: 'p2'},
    ],
    connect: ({id}) => ({
      ...fakeWorkers.createFakeWorker(id, 1).connect(),
      poll(call) {
        calledBy.push('holder');
        return fakeWorkers.createFakeWorker(id, 1).connect().poll(call);
      },
    }),
    loopUtilization: () => 0,
    sendsPayload: () => true,
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    openChannel(options) {
      channels.set(options.address, options);
      return {
        call() {
          calledBy.push(options.address);
          const answer = fails
            ? result.err({...CLOSED, effect: 'not_run' as const})
            : result.ok({type: 'fenced' as const});
          return Promise.resolve(answer);
        },
        close: () => options.onLost(CLOSED),
      };
    },
  });
  const connect = (name: string, inDomain: string): ports.WorkerLink => {
    const {info} = fakeWorkers.createFakeWorker(name, 1);
    return routes.connect({...info, domain: domain(inDomain)});
  };
  return {
    routes,
    channels,
    calledBy,
    connect,
    fail: () => (fails = true),
  };
}

test('a holder calls the workers that it can poll by itself', async () => {
  const {routes, calledBy, connect} = createRoutes();
  await connect('w1', 'd1').poll(POLL);
  assert.deepEqual(calledBy, ['holder']);
  assert.equal(routes.relayed(), 0);
});

// Guards against a holder that is kept busy by polling and is late with
// everything else.
test('workers beyond that are called through peers of their domains', async () => {
  const {routes, calledBy, connect} = createRoutes();
  const [first, second] = [connect('w1', 'd1'), connect('w2', 'd2')];
  await first.poll(POLL);
  await second.poll(POLL);
  assert.deepEqual(calledBy, ['p1', 'p2']);
  assert.equal(routes.relayed(), 2);
  second.close();
  await first.poll(POLL);
  assert.equal(calledBy.at(-1), 'holder', 'one worker is left');
});

test('workers of a peer that is lost are called through another', async () => {
  const {channels, calledBy, connect} = createRoutes();
  const first = connect('w1', 'd1');
  connect('w2', 'd2');
  await first.poll(POLL);
  channels.get('p1')!.onLost(CLOSED);
  await first.poll(POLL);
  assert.deepEqual(calledBy, ['p1', 'p2']);
});

test('a call that the peer has not made is made by the holder', async () => {
  const {calledBy, connect, fail} = createRoutes();
  const first = connect('w1', 'd1');
  connect('w2', 'd2');
  fail();
  await first.poll(POLL);
  assert.deepEqual(calledBy, ['p1', 'holder']);
});

test('workers of a peer that is leaving are called through another', async () => {
  const {channels, calledBy, connect} = createRoutes();
  const first = connect('w1', 'd1');
  connect('w2', 'd2');
  await first.poll(POLL);
  channels.get('p1')!.onLeaving();
  await first.poll(POLL);
  channels.get('p1')!.onLost(CLOSED);
  await first.poll(POLL);
  assert.deepEqual(calledBy, ['p1', 'p2', 'p2']);
});
