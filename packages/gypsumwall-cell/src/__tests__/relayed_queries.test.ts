import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as fastify from 'fastify';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as jobServiceTypes from '../job_service_types.js';
import * as peerDirectory from '../peer_directory.js';
import type * as peerProtocol from '../peer_protocol.js';
import * as forwardingJobService from '../forwarding_job_service.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const {queue} = worlds.POLICY;
const REFUSED = {type: 'not_run', retryAfterMs: 1_000} as const;
const UNANSWERED = {
  type: 'unanswered',
  maybeApplied: false,
  isSlow: false,
} as const;
const LIMITS = {
  preferred: undefined,
  onlyPreferred: false,
  peerTimeoutMs: 300,
  totalTimeoutMs: 500,
};

/** A job service whose local calls are all refused. */
const logger = telemetry.logger.createLogger('silent');

function createService(
  reachable: boolean,
  relay: (req: peerProtocol.RelayReq) => peerDirectory.RelayOutcome,
): forwardingJobService.ForwardingJobService {
  const own: jobServiceTypes.JobService = {
    submit: () => Promise.resolve(REFUSED),
    cancel: () => Promise.resolve(REFUSED),
    phaseOf: () => Promise.resolve(REFUSED),
    finalPhaseOf: () => Promise.resolve(REFUSED),
    pendingIn: () => Promise.resolve(REFUSED),
    shed: () => undefined,
    isStored: () => false,
    isCurrent: () => reachable,
    storeLatencyMs: () => 5,
  };
  const clock = types.clock.createSystemClock();
  return forwardingJobService.createForwardingJobService({
    local: own,
    peers: {
      ...peerDirectory.createPeerDirectory({self: 'self', clock, logger}),
      relay: (req) => Promise.resolve(relay(req)),
    },
    clock,
    logger,
    storeReachable: () => reachable,
    isStoreQuick: () => true,
    holder: () => 'other',
    appender: () => 'other',
    substituteAppender: () => undefined,
    onJobRefused: () => {},
  });
}

// Guards against a job that is refused although a peer would have accepted it.
// Just before, another caller had asked for the number of pending jobs, which
// no peer could answer because their replicas were stale too; they reach the
// store all the same.
test('a query that no peer can answer does not stop jobs from being forwarded', async () => {
  const taken = {type: 'ok', value: undefined} as const;
  const service = createService(false, (req) =>
    req.type === 'submit'
      ? {type: 'answered', res: taken, maybeApplied: false}
      : UNANSWERED,
  );
  assert.equal((await service.pendingIn(queue)).type, 'not_run');
  const answer = await service.submit(id, worlds.POLICY, worlds.request(1));
  assert.equal(answer.type, 'ok');
});

// Guards against a caller who has to retry although any peer knows the job. One
// read of the log failed, at an entry whose replica is current but lacks the
// newest job.
test('a state that this entry does not know is queried at a peer', async () => {
  const known = {type: 'ok', value: 'queued'} as const;
  const service = createService(true, () => ({
    type: 'answered',
    res: known,
    maybeApplied: false,
  }));
  assert.deepEqual(await service.phaseOf(id, queue), known);
});

// Guards against 500 during a rolling update: the peer that is asked has an
// older version without this query, and its peer server returns an empty
// answer.
test('a peer that does not know the query is skipped', async () => {
  const server = fastify.fastify();
  server.post('/relay', async (_req, res) => res.send(undefined));
  await server.listen({host: '127.0.0.1', port: 0});
  const {port} = server.server.address() as net.AddressInfo;
  const peers = peerDirectory.createPeerDirectory({
    self: 'self',
    clock: types.clock.createSystemClock(),
    logger,
  });
  try {
    peers.apply('old', {
      entryId: types.ids.brand('old.1'),
      domain: types.ids.brand('d1'),
      address: `127.0.0.1:${port}`,
    });
    const outcome = await peers.relay({type: 'pending', queue}, LIMITS);
    assert.equal(outcome.type, 'unanswered');
  } finally {
    peers.close();
    await server.close();
  }
});
