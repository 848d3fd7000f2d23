import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as boundedLineSink from '../bounded_line_sink.js';
import * as logger from '../logger.js';
import * as textMetrics from '../text_metrics.js';

const {test} = nodeTest;

function stream() {
  const written: string[] = [];
  return {
    written,
    writableNeedDrain: false,
    write(text: string) {
      written.push(text);
      return true;
    },
  };
}

test('lines above the limit are dropped, and the log says how many', () => {
  const target = stream();
  const sink = boundedLineSink.createBoundedLineSink(target, 30);
  for (let nth = 0; nth < 5; nth++) sink.write(`line ${nth}`);
  sink.flush();
  assert.equal(sink.dropped(), 2);
  assert.match(target.written.join(''), /line 2\n.*dropped total=2/);
});

// Guards against a process that blocks because the reader of its log has
// stopped.
test('a full stream drops lines and does not block the writer', () => {
  const target = stream();
  target.writableNeedDrain = true;
  const sink = boundedLineSink.createBoundedLineSink(target, 30);
  sink.write('lost');
  sink.flush();
  target.writableNeedDrain = false;
  sink.write('kept');
  sink.flush();
  assert.deepEqual(target.written, [
    'kept\nlevel=warn event=log_lines_dropped total=1\n',
  ]);
});

test('events are counted by name and outcome, and their latencies recorded', () => {
  const metrics = textMetrics.createTextMetrics();
  const counted = metrics.wrapLogger(logger.createLogger('silent'));
  counted.info('job_submitted', {outcome: 'stored', tookMs: 12});
  counted.with({a: 1}).info('job_submitted', {outcome: 'stored', tookMs: 14});
  const text = metrics.render({jobs: 3});
  assert.match(
    text,
    /events_total\{event="job_submitted",outcome="stored"\} 2/,
  );
  assert.match(text, /latency_ms_count\{event="job_submitted"\} 2/);
  assert.match(text, /gypsumwall_jobs 3\n/);
});
