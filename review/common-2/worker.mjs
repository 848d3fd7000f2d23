/** Stand-in for one executor, after PROTOCOL.md. */
import * as http from 'node:http';

const HEARTBEAT_MS = 1_500;
const MAX_LEASE_MS = 6_000;
const STOP_MS = 50;
const MAX_ENDS = 500;

/**
 * Starts an executor. `plan(start)` says what a run does: `{afterMs, how}`;
 * `afterMs` may be `Infinity` for a task that lasts. `onEvent` receives what
 * the executor does.
 */
export async function startWorker({
  host,
  id,
  zone,
  kind = 'a',
  rack,
  capacity,
  service,
  store,
  plan,
  onEvent,
  port = 0,
  onCrash = () => {},
}) {
  const startedAt = performance.now();
  let isDown = false;
  const clockOffset = Math.floor(Math.random() * 1_000_000);
  const clockMs = () => Math.floor(clockOffset + performance.now() - startedAt);
  const running = new Map();
  let finished = [];
  let lastEnd = 0;
  const lastEnded = new Map();
  let token = 0;
  let leaseUntil = 0;
  let waiters = [];
  let seq = 0;

  const wake = () => {
    for (const one of waiters) one();
    waiters = [];
  };

  function end(key, how) {
    const run = running.get(key);
    if (run === undefined) return;
    clearTimeout(run.timer);
    running.delete(key);
    lastEnded.set(
      run.task,
      Math.max(run.attempt, lastEnded.get(run.task) ?? 0),
    );
    finished.push([++lastEnd, run.task, run.attempt, how, '']);
    onEvent({
      type: 'end',
      worker: id,
      task: run.task,
      attempt: run.attempt,
      how,
    });
    wake();
  }

  const leaseGuard = setInterval(() => {
    if (running.size > 0 && clockMs() > leaseUntil)
      for (const key of [...running.keys()]) end(key, 'lapsed');
  }, 50);

  function extendLease(expiresMs) {
    if (expiresMs === undefined) return;
    const until = Math.min(expiresMs, clockMs() + MAX_LEASE_MS);
    leaseUntil = Math.max(leaseUntil, until);
  }

  function isFenced({fencingToken = 0}) {
    if (fencingToken < token) return true;
    token = fencingToken;
    return false;
  }

  const refuse = (reason) => ({
    status: 409,
    body: {clockMs: clockMs(), reason},
  });
  const accept = () => ({status: 200, body: {clockMs: clockMs()}});

  function start(body) {
    if (isFenced(body)) return refuse('fence');
    const {task, attempt, spec} = body;
    const key = `${task}#${attempt}`;
    extendLease(body.expiresMs);
    if (running.has(key)) return accept();
    if ((lastEnded.get(task) ?? 0) >= attempt) {
      onEvent({type: 'refused', worker: id, task, attempt, reason: 'old'});
      return refuse('old');
    }
    if (leaseUntil <= clockMs()) return refuse('late');
    const {afterMs, how} = plan({worker: id, task, attempt, spec});
    const run = {task, attempt, at: performance.now(), afterMs};
    if (Number.isFinite(afterMs))
      run.timer = setTimeout(
        () => (how === 'crash' ? crash(task) : end(key, how)),
        afterMs,
      );
    running.set(key, run);
    onEvent({type: 'start', worker: id, task, attempt});
    return accept();
  }

  function stop(body) {
    if (isFenced(body)) return refuse('fence');
    const {task, attempt} = body;
    lastEnded.set(task, Math.max(attempt, lastEnded.get(task) ?? 0));
    setTimeout(() => end(`${task}#${attempt}`, 'stopped'), STOP_MS);
    return accept();
  }

  async function hold(body) {
    if (isFenced(body)) return refuse('fence');
    extendLease(body.expiresMs);
    const {ackCursor = 0, waitMs = 0} = body;
    finished = finished.filter(([nth]) => nth > ackCursor);
    if (finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const rows = [...running.values()].map(({task, attempt, at, afterMs}) => {
      const share = (performance.now() - at) / afterMs;
      const percent = Number.isFinite(afterMs)
        ? Math.min(100, Math.floor(share * 100))
        : 100;
      return [task, attempt, '', percent, 0];
    });
    return {
      status: 200,
      body: {
        clockMs: clockMs(),
        running: rows,
        finished: finished.slice(0, MAX_ENDS),
      },
    };
  }

  const calls = {
    '/v1/run-start': start,
    '/v1/run-stop': stop,
    '/v1/hold': hold,
  };
  const server = http.createServer(async (req, res) => {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      // The caller has gone before its call was complete.
      return;
    }
    const call = calls[req.url];
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421).end();
      return;
    }
    if (call === undefined) {
      res.writeHead(req.url === '/healthz' ? 200 : 404).end();
      return;
    }
    const {status, body} = await call(JSON.parse(Buffer.concat(chunks)));
    if (res.destroyed) return;
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(port, host, resolve));
  const addr = `${host}:${server.address().port}`;

  function register() {
    store.write('keyed.servers', id, {
      service,
      addr,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity,
      labels: [kind, rack],
      seq: ++seq,
    });
  }
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);

  function shutDown() {
    isDown = true;
    clearInterval(heartbeat);
    clearInterval(leaseGuard);
    for (const {timer} of running.values()) clearTimeout(timer);
    wake();
    server.close();
    server.closeAllConnections();
  }

  /** Ends this life of the executor with all that runs there. */
  function crash(cause) {
    if (isDown) return;
    const tasks = [...running.values()].map(
      ({task, attempt}) => `${task}#${attempt}`,
    );
    onEvent({type: 'crash', worker: id, task: cause, tasks});
    const {port: own} = server.address();
    shutDown();
    running.clear();
    onCrash({id, port: own});
  }

  return {
    id,
    running: () => [...running.values()],
    close: shutDown,
  };
}
