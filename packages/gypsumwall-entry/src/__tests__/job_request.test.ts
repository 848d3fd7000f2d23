import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as jobRequest from '../job_request.js';

const TEAM = types.ids.brand<types.ids.TeamId>('night-plans');

const JOB = {
  shape: {kind: 'batch', tasks: 4},
  jobClass: 'repayment-plans',
  urgency: 'overnight',
  size: {cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0},
  estimateMs: 60_000,
  work: {command: 'build-plans'},
};

/** Returns why a job with some changed fields is refused. */
function refusal(change: Record<string, unknown>): string {
  const checked = jobRequest.checkJobRequest({...JOB, ...change}, TEAM);
  return checked.isErr ? checked.error : '';
}

nodeTest.test('a valid job gets its team and its deadline', () => {
  const deadline = '2027-03-01T05:00:00+03:00';
  const checked = jobRequest.checkJobRequest({...JOB, deadline}, TEAM);
  assert.ok(checked.isOk);
  assert.equal(checked.value.team, TEAM);
  assert.equal(checked.value.deadline, Date.UTC(2027, 2, 1, 2));
});

nodeTest.test('an invalid job is refused with field, value and remedy', () => {
  const size = {...JOB.size, memoryMb: '2GB'};
  assert.match(refusal({size}), /size\/memoryMb = "2GB".*Write 2048 \(mebib/);
  const shape = {kind: 'crowd', tasks: 4};
  assert.match(
    refusal({shape}),
    /shape\/kind = "crowd".*Use one of batch, gang/,
  );
  const negative = {kind: 'batch', tasks: -3};
  assert.match(
    refusal({shape: negative}),
    /shape\/tasks = -3.*Use more than 0/,
  );
  assert.match(refusal({deadline: 'soon'}), /deadline = "soon".*its zone/);
  assert.match(refusal({team: 'other'}), /team = "other": the key is unknown/);
  const work = {command: 'x', args: {a: [1]}};
  assert.match(refusal({work}), /work\/args\/a.*type string or number or bool/);
  const noJson = jobRequest.checkJobRequest(undefined, TEAM);
  assert.match(noJson.isErr ? noJson.error : '', /not JSON/);
});
