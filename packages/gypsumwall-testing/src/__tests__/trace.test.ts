import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as nodeTest from 'node:test';
import * as undici from 'undici';
import * as exampleCell from '../example_cell.js';
import * as formatTrace from '../format_trace.js';
import * as launchCell from '../launch_cell.js';
import * as traceCollector from '../trace_collector.js';

const CALLER_SPAN = 'b7ad6b7169203331';
const REQUEST_TRACE = '0af7651916cd43dd8448eb211c80319c';
const JOB_TRACE = '1af7651916cd43dd8448eb211c80319d';
const DEADLINE_MS = 30_000;

const example = exampleCell.readExampleCell('skyroute');
const tokens = example.tokens.teams;

/** Two entries of one failure domain, so that one isn't the holder. */
const SMALL_SITE = {
  ...example.site,
  failureDomains: [{name: 'bkk-a', entries: 2, upstreams: 1, racks: 1}],
  workersPerRack: 1,
};

const JOB = {
  shape: {kind: 'batch', tasks: 1},
  jobClass: 'route-optimisation',
  urgency: 'normal',
  size: {cpuMillis: 500, memoryMb: 256, accelerators: 0},
  estimateMs: 100,
  work: {command: 'optimise', args: {label: 'traced', runMs: 50}},
};

/** Sends a call with the trace context of a caller's span. */
async function send(url: string, token: string, traceId: string, body: object) {
  const res = await undici.request(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${token}`,
      traceparent: `00-${traceId}-${CALLER_SPAN}-01`,
    },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  assert.ok(res.statusCode < 300, text);
}

/** Waits until the trace has spans of all these names. */
async function waitForSpans(
  collector: traceCollector.TraceCollector,
  traceId: string,
  names: readonly string[],
): Promise<readonly traceCollector.CollectedSpan[]> {
  const deadline = performance.now() + DEADLINE_MS;
  for (;;) {
    const spans = collector.traces().get(traceId) ?? [];
    const seen = new Set(spans.map((span) => span.name));
    if (names.every((name) => seen.has(name))) return spans;
    assert.ok(performance.now() < deadline, `only ${[...seen].join(', ')}`);
    await timers.setTimeout(50);
  }
}

/**
 * Returns the names of a span and its ancestors, without the caller's span;
 * ends with `lost` if an ancestor is missing.
 */
function spanPathUp(
  spans: readonly traceCollector.CollectedSpan[],
  from: string,
): string[] {
  const names: string[] = [];
  let span = spans.find((one) => one.name === from);
  while (span !== undefined) {
    names.push(span.name);
    const parent: string | undefined = span.parentSpanId;
    if (parent === CALLER_SPAN) return names;
    span = spans.find((one) => one.spanId === parent);
  }
  return [...names, 'lost'];
}

nodeTest.test('a trace follows a call through all its hops', async () => {
  const collector = await traceCollector.startTraceCollector();
  const entrySettings = {
    ...SMALL_SITE.entrySettings,
    tracesUrl: collector.url,
  };
  const cell = await launchCell.launchCell({
    ...example,
    site: {...SMALL_SITE, entrySettings},
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  try {
    const entries = cell.entries();
    const token = tokens['airspace-desk'] ?? '';
    const requestUrl = `${entries[0]?.address}/v1/requests/airspace-check`;
    await send(requestUrl, token, REQUEST_TRACE, {workMs: 1});
    const hops = ['entry.call', 'upstream.execute'];
    const request = await waitForSpans(collector, REQUEST_TRACE, hops);
    assert.deepEqual(spanPathUp(request, 'upstream.execute'), hops.reverse());

    // One of the two entries isn't the holder and forwards the job to its peer.
    for (const {address} of entries) {
      const jobToken = tokens['route-optimisation'] ?? '';
      await send(`${address}/v1/jobs`, jobToken, JOB_TRACE, JOB);
    }
    const job = await waitForSpans(collector, JOB_TRACE, [
      'peer.forward',
      'worker.start',
    ]);
    assert.deepEqual(spanPathUp(job, 'peer.forward'), [
      'peer.forward',
      'entry.call',
    ]);
    const started = spanPathUp(job, 'worker.start');
    assert.ok(!started.includes('lost'), formatTrace.formatTrace(job));
    assert.doesNotMatch(formatTrace.formatTrace(job), new RegExp(token));
  } finally {
    await cell.close();
    await collector.close();
  }
});
