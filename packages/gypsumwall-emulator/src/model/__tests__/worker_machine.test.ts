import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as emulatorConfig from '../../config/emulator_config.js';
import * as platformModel from '../platform_model.js';
import * as stores from '../store.js';

const {test} = nodeTest;
const HEARTBEAT_MS = 1_000;
const DRAIN_MS = 2_000;
const RESTART_MS = 6_000;
const CONFIG = `{
  "zones": ["z"],
  "pools": [
    {
      "name": "p",
      "workersPerZone": 1,
      "capacity": {"cpuMillis": 4000, "memoryMb": 4096},
    },
  ],
  "queues": [{"name": "q", "host": "q.example", "pathPrefix": "/q/", "pool": "p"}],
  "workers": {
    "heartbeatMs": ${HEARTBEAT_MS},
    "drainMs": ${DRAIN_MS},
    "restartMs": ${RESTART_MS},
  },
}`;

function createFixture(text = CONFIG, count = 1) {
  const parsed = emulatorConfig.parseEmulatorConfig('test.jsonc', text);
  assert.ok(parsed.isOk);
  const config = parsed.value;
  const clock = types.virtualClock.createVirtualClock();
  const model = platformModel.createPlatformModel({
    clock,
    config,
    encoders: {
      config: String,
      listing: ({draining, leavesInMs}) =>
        JSON.stringify([draining, leavesInMs]),
    },
  });
  const [place] = platformModel.listMachines(config);
  assert.ok(place !== undefined);
  const [machine, other] = Array.from({length: count}, () =>
    model.addMachine(place, '127.0.0.1:1'),
  );
  assert.ok(machine !== undefined);
  const list = model.store.log(stores.WORKERS_TOPIC);
  const listEntries = () =>
    list.readNewest('').records.map(({key, value}) => `${key} ${value}`);
  return {clock, model, machine, other, listEntries};
}

test('a worker leaves at the announced time', async () => {
  const {clock, machine, listEntries} = createFixture();
  assert.deepEqual(listEntries(), ['p-z-0-1 [false,null]']);
  const left = machine.leave();
  assert.deepEqual(listEntries(), [`p-z-0-1 [true,${DRAIN_MS}]`]);
  await clock.runUntil(DRAIN_MS - 1);
  assert.notEqual(machine.worker(), undefined);
  await clock.runUntil(DRAIN_MS);
  await left;
  assert.equal(machine.worker(), undefined);
  assert.deepEqual(listEntries(), []);
});

test('a crashed worker is listed for three more heartbeats and restarts with a new id', async () => {
  const {clock, machine, listEntries} = createFixture();
  const crashed = machine.crash();
  await clock.runUntil(2 * HEARTBEAT_MS);
  assert.deepEqual(listEntries(), ['p-z-0-1 [false,null]']);
  await clock.runUntil(5 * HEARTBEAT_MS);
  assert.deepEqual(listEntries(), []);
  await clock.runUntil(RESTART_MS);
  await crashed;
  assert.deepEqual(listEntries(), ['p-z-0-2 [false,null]']);
});

test('a worker that keeps its id restarts with nothing but the id', async () => {
  const text = CONFIG.replace('"restartMs"', '"keepIds": true, "restartMs"');
  const {clock, other} = createFixture(text, 2);
  const first = other?.worker();
  const crashed = other?.crash();
  await clock.runUntil(RESTART_MS);
  await crashed;
  const second = other?.worker();
  assert.notEqual(first, second);
  assert.equal(first?.id, second?.id);
  assert.equal(second!.bornMs - first!.bornMs, RESTART_MS);
});
