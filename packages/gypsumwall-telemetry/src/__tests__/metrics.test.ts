import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as events from 'node:events';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as metricTable from '../metric_table.js';
import * as metrics from '../metrics.js';

const METRICS_PAGE = new URL('../../../../docs/METRICS.md', import.meta.url);

const PACKAGES = new URL('../../../', import.meta.url);

nodeTest.test('metrics reach the daemon with prefix and tags', async () => {
  const daemon = dgram.createSocket('udp4');
  daemon.bind(0, '127.0.0.1');
  await events.EventEmitter.once(daemon, 'listening');
  const sender = metrics.createMetrics({
    host: '127.0.0.1',
    port: daemon.address().port,
    tags: {entry: 'bole-1'},
    onError: (err) => assert.fail(err),
  });
  sender.count('requests', {operation: 'airspace-check', outcome: 'done'});
  sender.gauge('tasks', 3, {state: 'running'});
  sender.observe('taskWait', 1.5, {urgency: 'urgent'});
  const received = events.EventEmitter.once(daemon, 'message');
  await sender.close();
  const [packet] = (await received) as [Buffer];
  daemon.close();
  assert.deepEqual(packet.toString().trim().split('\n'), [
    'gypsumwall.requests:1|c|#entry:bole-1,operation:airspace-check,outcome:done',
    'gypsumwall.tasks:3|g|#entry:bole-1,state:running',
    'gypsumwall.task.wait:1.5|h|#entry:bole-1,urgency:urgent',
  ]);
});

nodeTest.test('an unreachable daemon causes no exception', async () => {
  const sender = metrics.createMetrics({
    host: '127.0.0.1',
    port: 9,
    tags: {},
    onError: () => undefined,
  });
  for (let i = 0; i < 1_000; i++) sender.count('requests');
  await sender.close();
});

nodeTest.test('docs/METRICS.md has the same table as the code', () => {
  const page = fs.readFileSync(METRICS_PAGE, 'utf8');
  const rows = page.split('\n').filter((line) => line.startsWith('| `gyp'));
  const expected = Object.values<metricTable.MetricDefinition>(
    metricTable.METRICS,
  ).map((metric) => {
    const tags = metric.tags.map((tag) => `\`${tag}\``).join(', ') || '-';
    const name = `\`${metricTable.METRIC_PREFIX}${metric.name}\``;
    return `| ${name} | ${metric.kind} | ${metric.unit} | ${tags} | ${metric.meaning} |`;
  });
  assert.deepEqual(
    rows.map((row) => row.replace(/\s+/g, ' ')),
    expected,
  );
});

nodeTest.test('every metric in the table is sent somewhere', () => {
  const sources = fs
    .readdirSync(PACKAGES, {recursive: true, encoding: 'utf8'})
    .filter((name) => /\/src\/[^/]+\.ts$/.test(name))
    .map((name) => fs.readFileSync(new URL(name, PACKAGES), 'utf8'))
    .join('\n');
  for (const name of Object.keys(metricTable.METRICS)) {
    const sent = new RegExp(`\\.(count|gauge|observe)\\(\\s*'${name}'`);
    assert.match(sources, sent);
  }
});
