import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as forwardingJobService from '../forwarding_job_service.js';
import * as jobServices from '../job_service.js';
import type * as jobServiceTypes from '../job_service_types.js';
import * as jobTables from '../job_table.js';
import type * as logFollower from '../log_follower.js';
import type * as peerDirectory from '../peer_directory.js';
import * as storeHealths from '../store_health.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const clock = types.clock.createSystemClock();
const logger = telemetry.logger.createLogger('silent');

/** An entry that has read a job from the log, and whose holder is lost. */
function createService(
  relay: peerDirectory.RelayOutcome,
): jobServiceTypes.JobService {
  const jobs = jobTables.createJobTable({
    onAdded: () => {},
    onCancelled: () => {},
  });
  const job = {
    request: worlds.request(1),
    policy: worlds.POLICY,
    acceptedAt: clock.wall(),
  };
  jobs.apply({kind: 'job', jobId: id, job}, clock.monotonic());
  const local = jobServices.createJobService({
    jobsLog: fakeLogs.createFakeLog(),
    jobs,
    follower: {
      reachableSince: () => clock.monotonic(),
    } as unknown as logFollower.LogFollower,
    storeHealth: storeHealths.createStoreHealth(),
    replicaAgeMs: () => 0,
    catchUp: () => Promise.resolve(true),
    refreshStates: () => Promise.resolve(true),
    canForward: () => true,
    clock,
    logger,
    couldEverFit: () => true,
    fitsQuota: () => true,
    checkLoad: () => ({type: 'admitted'}),
    isOutdated: () => false,
  });
  return forwardingJobService.createForwardingJobService({
    local,
    peers: {
      relay: () => Promise.resolve(relay),
      relayTo: () => Promise.resolve(relay),
    } as unknown as peerDirectory.PeerDirectory,
    clock,
    logger,
    storeReachable: () => true,
    isStoreQuick: () => false,
    holder: () => 'other',
    appender: () => 'other',
    substituteAppender: () => undefined,
    onJobRefused: () => {},
  });
}

// Guards against a caller who is told that its job never runs although this
// entry has read it from the log: another entry stored it without answering.
test('a submission of a job that this entry has read is not refused', async () => {
  const outcomes: peerDirectory.RelayOutcome[] = [
    {type: 'unanswered', maybeApplied: false, isSlow: false},
    {
      type: 'answered',
      res: {type: 'not_run', retryAfterMs: 1_000, isStoreOverloaded: true},
      maybeApplied: false,
    },
    {
      type: 'answered',
      res: {type: 'invalid', message: 'too large'},
      maybeApplied: false,
    },
  ];
  const answers: string[] = [];
  for (const outcome of outcomes) {
    const answer = await createService(outcome).submit(
      id,
      worlds.POLICY,
      worlds.request(1),
    );
    answers.push(answer.type);
  }
  assert.deepEqual(answers, ['ok', 'ok', 'ok']);
});

// Guards against calls that are served with a revoked key.
test('a submission with an outdated key is not accepted, even if its job is stored', async () => {
  const res = {type: 'outdated_caller'} as const;
  const service = createService({type: 'answered', res, maybeApplied: false});
  const answer = await service.submit(id, worlds.POLICY, worlds.request(1));
  assert.equal(answer.type, 'outdated_caller');
});
