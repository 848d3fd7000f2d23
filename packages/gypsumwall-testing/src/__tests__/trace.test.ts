import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import * as nodeTest from 'node:test';
import * as undici from 'undici';
import * as entry from '@gypsumwall/entry';
import * as settings from '@gypsumwall/settings';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as domainHarness from '../__fixtures__/domain_harness.js';
import * as platformStandIn from '../platform_stand_in.js';
import * as standInConfig from '../stand_in_config.js';
import * as upstreamsStandIn from '../upstreams_stand_in.js';

const ROOT = 'root-token';
const TEAM_TOKEN = 'desk-token';
const sha256 = (text: string) =>
  crypto.createHash('sha256').update(text).digest('hex');

const TREE = {
  cell: {name: 'skyroute', failureDomains: ['bkk-a', 'bkk-b']},
  'teams/desk': {
    tokenHashes: [sha256(TEAM_TOKEN)],
    quota: {cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0},
    operations: {'airspace-check': {}},
  },
};

nodeTest.test('one trace follows a request through all its hops', async (t) => {
  // The pilot's question reaches an entry whose domain has no upstream; an
  // entry of the other domain has it answered. An operator sees one trace:
  // caller, entry, peer entry, upstream, each span below the one before.
  const recorder = telemetry.spanRecorder.createSpanRecorder();
  const standIn = await platformStandIn.createPlatformStandIn(
    standInConfig.platformConfigSchema.parse({kind: 'platform'}),
  );
  t.after(() => standIn.close());
  const upstreams = await upstreamsStandIn.createUpstreamsStandIn({
    kind: 'upstreams',
    upstreams: [{id: 'bkk-b-u1', slots: 8, connections: 64}],
  });
  t.after(() => upstreams.close());
  const startEntry = async (id: string, failureDomain: string) => {
    const url = standIn.control;
    const made = await entry.entry.createEntry({
      settings: settings.entrySettings.entrySettingsSchema.parse({
        id,
        failureDomain,
        logUrl: url,
        listUrl: url,
        rootOperatorTokenHash: sha256(ROOT),
        logLevel: 'silent',
        listPollMs: 20,
        listLagMs: 50,
      }),
      clock: types.clock.createSystemClock(),
      random: types.random.createRandom(1),
      logger: telemetry.logger.createLogger('silent'),
      tracer: telemetry.tracing.createTracer({instance: id, recorder}),
    });
    t.after(() => made.close());
    return made;
  };
  const near = await startEntry('near', 'bkk-a');
  const far = await startEntry('far', 'bkk-b');
  const listed = [
    {kind: 'entry', id: 'near', failureDomain: 'bkk-a', at: near.peerAddress},
    {kind: 'entry', id: 'far', failureDomain: 'bkk-b', at: far.peerAddress},
    {
      kind: 'upstream',
      id: 'bkk-b-u1',
      failureDomain: 'bkk-b',
      at: upstreams.addresses['bkk-b-u1'],
      slots: 8,
      connections: 64,
    },
  ].map(({at, ...rest}) => ({...rest, address: at, state: 'live'}));
  await undici.request(`${standIn.control}/control/instances`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({instances: listed}),
  });
  await publishTree(near.address);

  let status = 0;
  const ask = async () => {
    const res = await undici.request(
      `${near.address}/v1/requests/airspace-check`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${TEAM_TOKEN}`},
        body: '{"workMs":1}',
      },
    );
    await res.body.dump();
    status = res.statusCode;
  };
  const patience = performance.now() + 30_000;
  while (status !== 200 && performance.now() < patience) await ask();
  assert.equal(status, 200);

  const spans = () => recorder.spans();
  const answered = () =>
    spans().find((span) => span.name === 'upstream.execute');
  const hops = () => {
    const found = [];
    let at = answered();
    while (at !== undefined) {
      found.push(at);
      const parent: string | undefined = at.parentSpanId;
      at = spans().find((span) => span.spanId === parent);
    }
    return found;
  };
  await domainHarness.until('all spans ended', () => hops().length === 4);
  assert.deepEqual(
    hops().map(({name, attributes}) => [
      name,
      attributes['service.instance.id'],
    ]),
    [
      ['upstream.execute', 'far'],
      ['entry.call', 'far'],
      ['peer.forward', 'near'],
      ['entry.call', 'near'],
    ],
  );
  assert.equal(new Set(hops().map((span) => span.traceId)).size, 1);
});

/** Publishes the whole tree; a new entry refuses while it reads the log. */
async function publishTree(address: string): Promise<void> {
  for (const [path, value] of Object.entries(TREE)) {
    let status = 0;
    const patience = performance.now() + 10_000;
    while (status !== 200 && performance.now() < patience) {
      const res = await undici.request(`${address}/v1/settings/${path}`, {
        method: 'PUT',
        headers: {
          authorization: `Bearer ${ROOT}`,
          'content-type': 'application/json',
          'if-match': '-1',
        },
        body: JSON.stringify(value),
      });
      await res.body.dump();
      status = res.statusCode;
    }
    assert.equal(status, 200, path);
  }
}
