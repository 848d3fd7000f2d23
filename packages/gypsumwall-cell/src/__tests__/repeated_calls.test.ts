import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
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
const request = worlds.request(1);

/** A service whose first append isn't answered, and whose later are refused. */
function createService(isKnown: boolean): jobServiceTypes.JobService {
  const jobs = jobTables.createJobTable({
    onAdded: () => {},
    onCancelled: () => {},
  });
  const job = {request, policy: worlds.POLICY, acceptedAt: clock.wall()};
  if (isKnown) jobs.apply({kind: 'job', jobId: id, job}, clock.monotonic());
  const jobsLog = fakeLogs.createFakeLog();
  let appends = 0;
  jobsLog.append = () =>
    Promise.resolve(
      result.err({
        kind: 'timeout',
        step: 'append',
        peer: 'store',
        effect: ++appends === 1 ? 'unknown' : 'not_run',
        message: 'injected fault',
      }),
    );
  return jobServices.createJobService({
    jobsLog,
    jobs,
    follower: {
      reachableSince: () => (appends === 0 ? clock.monotonic() : undefined),
      catchUp: () => Promise.resolve(false),
    } as Partial<logFollower.LogFollower> as logFollower.LogFollower,
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
}

// Guards against a refusal by the holder of a call that it gets again, from any
// entry, while its append of the first one is open.
test('a local service does not refuse a call that an earlier append may carry out', async () => {
  const submitting = createService(false);
  const cancelling = createService(true);
  for (let nth = 0; nth < 2; nth++) {
    const submitted = await submitting.submit(id, worlds.POLICY, request);
    assert.equal(submitted.type, 'unknown', `submission ${nth}`);
    const cancelled = await cancelling.cancel(id, worlds.POLICY.queue);
    assert.equal(cancelled.type, 'unknown', `cancellation ${nth}`);
  }
});

// Guards against cancellations without Retry-After after a submission that was
// not answered.
test('submissions do not count for cancellations', async () => {
  const local: jobServiceTypes.JobService = {
    ...createService(false),
    submit: () => Promise.resolve({type: 'unknown'}),
    cancel: () => Promise.resolve({type: 'not_run', retryAfterMs: 1_000}),
  };
  const service = forwardingJobService.createForwardingJobService({
    local,
    peers: {
      relay: () =>
        Promise.resolve({
          type: 'unanswered',
          maybeApplied: false,
          isSlow: false,
        }),
    } as Partial<peerDirectory.PeerDirectory> as peerDirectory.PeerDirectory,
    clock,
    logger,
    storeReachable: () => true,
    isStoreQuick: () => true,
    holder: () => undefined,
    appender: () => undefined,
    substituteAppender: () => undefined,
    onJobRefused: () => {},
  });
  const submitted = await service.submit(id, worlds.POLICY, request);
  assert.equal(submitted.type, 'unknown');
  const cancelled = await service.cancel(id, worlds.POLICY.queue);
  assert.equal(cancelled.type, 'not_run');
});
