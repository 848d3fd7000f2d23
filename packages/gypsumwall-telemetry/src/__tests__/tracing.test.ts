import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as spanRecorder from '../span_recorder.js';
import * as tracing from '../tracing.js';

/** Listens on a port that the kernel chooses; returns the URL of the server. */
async function listen(server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  return `http://127.0.0.1:${port}`;
}

nodeTest.test(
  'one trace contains the spans of all hops, each as a child of the previous',
  async () => {
    const recorder = spanRecorder.createSpanRecorder();
    const entry = tracing.createTracer({instance: 'bole-1', recorder});
    const peer = tracing.createTracer({instance: 'bole-2', recorder});
    const caller = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
    const first = entry.startSpan('entry.request', caller);
    const second = peer.startSpan('peer.request', first.traceparent);
    const third = peer.startSpan('upstream.execute', second.traceparent);
    third.end('reset by the upstream');
    second.end();
    first.end();
    await Promise.all([entry.close(), peer.close()]);
    const spans = recorder.spans();
    assert.deepEqual(
      spans.map((span) => span.name),
      ['upstream.execute', 'peer.request', 'entry.request'],
    );
    assert.deepEqual(
      new Set(spans.map((span) => span.traceId)),
      new Set(['0af7651916cd43dd8448eb211c80319c']),
    );
    assert.equal(spans[0]!.parentSpanId, spans[1]!.spanId);
    assert.equal(spans[1]!.parentSpanId, spans[2]!.spanId);
    assert.equal(spans[2]!.parentSpanId, 'b7ad6b7169203331');
    assert.equal(spans[0]!.error, 'reset by the upstream');
    assert.equal(spans[1]!.attributes['service.instance.id'], 'bole-2');
  },
);

nodeTest.test('an invalid traceparent starts a new trace', async () => {
  const tracer = tracing.createTracer({instance: 'bole-1'});
  const span = tracer.startSpan('entry.request', 'no-trace');
  assert.match(span.traceparent, /^00-[0-9a-f]{32}-[0-9a-f]{16}-00$/);
  assert.equal(span.traceparent.split('-')[1], span.traceId);
  span.end();
  await tracer.close();
});

// Guards against a collector that accepts connections and never answers, and so
// delays callers. Spans that exceed the queue are dropped, no span waits for an
// export, and closing the tracer ends after the export timeout.
nodeTest.test(
  'a collector that does not answer delays neither spans nor close',
  async () => {
    const silentCollector = net.createServer(() => undefined);
    const collectorUrl = await listen(silentCollector);
    const errors: string[] = [];
    const tracer = tracing.createTracer({
      instance: 'bole-1',
      collectorUrl,
      exportTimeoutMs: 200,
      onError: (message) => errors.push(message),
    });
    const connected = new Promise((resolve) =>
      silentCollector.once('connection', resolve),
    );
    const startedAt = performance.now();
    for (let i = 0; i < 10_000; i++) tracer.startSpan('entry.request').end();
    const meanMs = (performance.now() - startedAt) / 10_000;
    assert.ok(meanMs < 1, `a span took ${meanMs} ms`);
    await connected;
    const closeStartedAt = performance.now();
    await tracer.close();
    const closeMs = performance.now() - closeStartedAt;
    assert.ok(closeMs < 5_000, `closing took ${closeMs} ms`);
    assert.notEqual(errors.length, 0);
    silentCollector.close();
  },
);

nodeTest.test('spans are exported to the collector', async () => {
  const bodies: string[] = [];
  const collector = http.createServer((req, res) => {
    req.setEncoding('utf8');
    req.on('data', (chunk: string) => bodies.push(chunk));
    req.on('end', () => res.end('{}'));
  });
  const collectorUrl = await listen(collector);
  const tracer = tracing.createTracer({instance: 'bole-1', collectorUrl});
  tracer.startSpan('entry.request').end();
  await tracer.close();
  collector.close();
  collector.closeAllConnections();
  assert.match(bodies.join(''), /entry\.request/);
});
