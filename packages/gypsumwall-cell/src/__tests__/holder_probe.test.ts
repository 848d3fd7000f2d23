import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as holderProbes from '../holder_probe.js';

const {test} = nodeTest;

async function probeFor(
  silentMs: number,
  isAlive: boolean,
  longestPauseMs = 0,
): Promise<{readonly lost: boolean; readonly asked: number}> {
  const clock = types.clock.createSystemClock();
  const stopping = new AbortController();
  const silentSince = types.clock.after(clock.monotonic(), -silentMs);
  let asked = 0;
  const probe = holderProbes.createHolderProbe({
    holder: () => 'holder',
    silentSince: () => silentSince,
    longestPauseMs: () => longestPauseMs,
    ping: () => {
      asked++;
      return Promise.resolve(isAlive);
    },
    isStandby: () => true,
    clock,
  });
  void probe.run(stopping.signal);
  const end = types.clock.after(clock.monotonic(), 250);
  while (!probe.isLost() && clock.monotonic() < end) {
    await types.clock.sleepFor(clock, 5);
  }
  stopping.abort();
  return {lost: probe.isLost(), asked};
}

// Load: 13 jobs a second, and the holder loses power just when the store has
// recovered from an outage. Jobs accepted meanwhile wait for the holder's
// successor: for 1.1 s if silence alone decides, and urgent jobs can spare half
// of that.
test('a silent holder that answers no peer is lost', async () => {
  const {lost} = await probeFor(500, false);
  assert.equal(lost, true);
});

// A slow store makes a healthy holder silent as well; its peers must not
// replace it for that.
test('a silent holder that answers its peers is not lost', async () => {
  const {lost, asked} = await probeFor(500, true);
  assert.equal(lost, false);
  assert.ok(asked > 0);
});

test('a holder that writes is not pinged', async () => {
  const {lost, asked} = await probeFor(0, false);
  assert.equal(lost, false);
  assert.equal(asked, 0);
});

// Guards against pings that keep a busy holder from writing.
test('a holder that usually writes seldom is not pinged', async () => {
  const {lost, asked} = await probeFor(450, false, 800);
  assert.equal(lost, false);
  assert.equal(asked, 0);
});
