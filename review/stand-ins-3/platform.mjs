/**
 * Small stand-ins of the platform for the scripts of this review: the metadata
 * store, executors that register there, and the machines that run the entries.
 * They do what PROTOCOL.md says and nothing else.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

export const REPOSITORY = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../..',
);

/** Values of the example in DEPLOY.md that the stand-ins keep to. */
export const BOUNDS = {
  heartbeatMs: 1500,
  holdMaxMs: 10_000,
  stopTimeoutMs: 400,
  graceS: 6,
  finishS: 14,
  recordBytes: 262_144,
  requestBytes: 2_097_152,
  appendMs: 4,
  keepMs: 300_000,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes record.txt, with the time since the start of the script. */
export function createRecord(file) {
  const startedAt = performance.now();
  fs.writeFileSync(file, '');
  return (line) => {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    fs.appendFileSync(file, `${at.padStart(8)} ${line}\n`);
  };
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function listen(handle, port = 0) {
  const server = http.createServer(handle);
  server.keepAliveTimeout = 120_000;
  server.requestTimeout = 0;
  return new Promise((resolve) =>
    server.listen(port, '127.0.0.1', () => resolve(server)),
  );
}

const addressOf = (server) =>
  `${server.address().address}:${server.address().port}`;

/* The store. */

function createLog() {
  const records = [];
  let first = 0;
  const newest = new Map();
  const producers = new Map();
  const waiters = new Set();
  let turn = Promise.resolve();
  const end = () => first + records.length;

  function expire() {
    const oldest = performance.now() - BOUNDS.keepMs;
    while (records.length > 0 && records[0].at < oldest) {
      records.shift();
      first++;
    }
  }

  function append(entries, {at, producer, epoch, seq}) {
    if (producer !== undefined) {
      const known = producers.get(producer) ?? {epoch: -1, next: 0, recent: []};
      if (epoch < known.epoch) return {status: 409, body: {reason: 'fenced'}};
      if (epoch === known.epoch) {
        const repeat = known.recent.find((one) => one.seq === seq);
        if (repeat !== undefined) return repeat.answer;
        if (seq !== known.next)
          return {status: 409, body: {reason: 'seq', expected: known.next}};
      }
    }
    if (at !== undefined && at !== end())
      return {status: 412, body: {endOffset: end()}};
    const offset = end();
    for (const {key, value} of entries) {
      const record = {key, value, offset: end(), at: performance.now()};
      records.push(record);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, record);
    }
    const answer = {status: 200, body: {offset, endOffset: end()}};
    if (producer !== undefined) {
      const known = producers.get(producer);
      const isSame = known !== undefined && known.epoch === epoch;
      const recent = isSame ? known.recent : [];
      producers.set(producer, {
        epoch,
        next: seq + 1,
        recent: [...recent, {seq, answer}].slice(-5),
      });
    }
    for (const wake of waiters) wake();
    return answer;
  }

  return {
    end,
    append,
    /** Appends are carried out one at a time. */
    appendInTurn(entries, conditions) {
      const done = turn.then(async () => {
        await sleep(BOUNDS.appendMs);
        return append(entries, conditions);
      });
      turn = done.catch(() => {});
      return done;
    },
    async read(from, maxBytes, waitMs) {
      if (end() <= from && waitMs > 0) {
        await new Promise((resolve) => {
          const finish = () => {
            clearTimeout(timer);
            waiters.delete(finish);
            resolve();
          };
          const timer = setTimeout(finish, waitMs);
          waiters.add(finish);
        });
      }
      expire();
      if (from < first) return {status: 410, startOffset: first};
      const found = [];
      let bytes = 0;
      for (const record of records.slice(from - first)) {
        const size = 5 + Buffer.byteLength(record.key) + record.value.length;
        if (bytes + size > maxBytes) break;
        bytes += size;
        found.push(record);
      }
      return {status: 200, found, end: end(), first};
    },
    page(after) {
      const keys = [...newest.keys()].sort().filter((key) => key > after);
      const items = [];
      let bytes = 0;
      for (const key of keys) {
        const {value, offset} = newest.get(key);
        if (items.length >= 500 || bytes + value.length > 1_000_000) break;
        bytes += value.length;
        items.push({key, value: value.toString('base64'), offset});
      }
      return {items, hasMore: items.length < keys.length, endOffset: end()};
    },
  };
}

function encodeRecord({key, value}) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length);
  head.writeUInt8(name.length, 4);
  return Buffer.concat([head, name, value]);
}

function decodeRecords(bytes) {
  const entries = [];
  let at = 0;
  while (at + 4 <= bytes.length) {
    const length = bytes.readUInt32BE(at);
    const start = at + 4;
    const keyEnd = start + 1 + bytes[start];
    entries.push({
      key: bytes.toString('utf8', start + 1, keyEnd),
      value: Buffer.from(bytes.subarray(keyEnd, start + length)),
      bytes: length,
    });
    at = start + length;
  }
  return entries;
}

/**
 * Starts the store. A call with a record over `recordBytes`, or with more than
 * `requestBytes`, is refused with 413 and appends nothing.
 */
export async function startStore(record) {
  const logs = new Map();
  const refused = {calls: 0, largestBytes: 0};
  function log(topic) {
    if (!logs.has(topic)) logs.set(topic, createLog());
    return logs.get(topic);
  }

  async function handle(req, res) {
    const {pathname, searchParams: query} = new URL(req.url, 'http://store');
    const number = (name) =>
      query.has(name) ? Number(query.get(name)) : undefined;
    const answer = (status, body) => {
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(JSON.stringify(body));
    };
    const topic = query.get('topic');
    switch (`${req.method} ${pathname}`) {
      case 'POST /v1/log-append': {
        const body = await readBody(req);
        if (topic === 'keyed.op' || topic === 'keyed.servers')
          return answer(403, {});
        const entries = decodeRecords(body);
        const largest = Math.max(0, ...entries.map(({bytes}) => bytes));
        const total = entries.reduce((sum, {bytes}) => sum + bytes, 0);
        if (largest > BOUNDS.recordBytes || total > BOUNDS.requestBytes) {
          refused.calls++;
          refused.largestBytes = Math.max(refused.largestBytes, largest);
          if (refused.calls <= 3 || refused.calls % 50 === 0)
            record(
              `store refuses append ${refused.calls} over its limits: topic ${topic}, largest record ${largest} bytes, total ${total}`,
            );
          return answer(413, {});
        }
        const done = await log(topic).appendInTurn(entries, {
          at: number('at'),
          producer: query.get('producer') ?? undefined,
          epoch: number('epoch'),
          seq: number('seq'),
        });
        return answer(done.status, done.body);
      }
      case 'GET /v1/log-read': {
        const maxBytes = (number('maxKb') ?? 1_024) * 1_024;
        const waitMs = Math.min(30_000, number('waitMs') ?? 0);
        const found = await log(topic).read(number('from'), maxBytes, waitMs);
        if (found.status === 410)
          return answer(410, {startOffset: found.startOffset});
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(found.end), 0);
        head.writeBigUInt64BE(BigInt(found.first), 8);
        res.writeHead(200, {'content-type': 'application/octet-stream'});
        return res.end(Buffer.concat([head, ...found.found.map(encodeRecord)]));
      }
      case 'GET /v1/log-newest':
        return answer(200, log(topic).page(query.get('after') ?? ''));
      default:
        return answer(404, {});
    }
  }

  const server = await listen((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  return {
    address: addressOf(server),
    refused,
    write: (topic, key, value) =>
      log(topic).append([{key, value: Buffer.from(value)}], {}),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/* Executors. */

/**
 * Starts one executor, which registers itself. `workOf(task, spec)` says after
 * how many milliseconds a run of the task is done, fails, or crashes it.
 */
export async function startExecutor({
  store,
  record,
  runs,
  id,
  service,
  zone,
  labels,
  capacity,
  workOf,
  port = 0,
}) {
  const startedAt = performance.now();
  const clockMs = () => Math.floor(1_000 + performance.now() - startedAt);
  const running = new Map();
  const ended = new Map();
  const finished = [];
  const waiters = new Set();
  let fence = 0;
  let nextEnd = 1;
  let leaseUntil = 0;
  let seq = 0;
  let isGone = false;
  let leaseTimer;

  function finish(run, how) {
    if (running.get(run.key) !== run) return;
    running.delete(run.key);
    clearTimeout(run.timer);
    run.endedAt = Date.now();
    run.how = how;
    ended.set(run.task, Math.max(ended.get(run.task) ?? 0, run.attempt));
    finished.push([nextEnd++, run.task, run.attempt, how, '']);
    for (const wake of waiters) wake();
  }

  function lapse() {
    if (isGone || running.size === 0) return;
    if (clockMs() < leaseUntil) return renewTimer();
    for (const run of [...running.values()]) finish(run, 'lapsed');
  }

  function renewTimer() {
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(lapse, Math.max(1, leaseUntil - clockMs()));
  }

  function extend(expiresMs) {
    if (!(expiresMs > 0)) return;
    const until = Math.min(expiresMs, clockMs() + BOUNDS.holdMaxMs);
    leaseUntil = Math.max(leaseUntil, until);
    renewTimer();
  }

  function start(body) {
    const {task, attempt, spec, expiresMs} = body;
    const key = `${task}#${attempt}`;
    if (running.has(key)) {
      extend(expiresMs);
      return [200, {}];
    }
    if ((ended.get(task) ?? 0) >= attempt) {
      extend(expiresMs);
      return [409, {reason: 'old'}];
    }
    if (expiresMs <= clockMs()) return [409, {reason: 'late'}];
    extend(expiresMs);
    const run = {key, task, attempt, executor: id, startedAt: Date.now()};
    const {workMs, failsAfterMs, crash} = workOf(task, spec);
    run.lasts = failsAfterMs !== undefined;
    run.totalMs = workMs ?? (run.lasts ? 50 : 20_000);
    running.set(key, run);
    runs.push(run);
    if (workMs !== undefined)
      run.timer = setTimeout(() => finish(run, 'done'), workMs);
    if (crash !== undefined) run.timer = setTimeout(crash.crash, crash.afterMs);
    if (failsAfterMs !== undefined)
      run.timer = setTimeout(
        () => finish(run, 'failed'),
        failsAfterMs * (0.5 + Math.random()),
      );
    return [200, {}];
  }

  function stop({task, attempt}) {
    ended.set(task, Math.max(ended.get(task) ?? 0, attempt));
    const run = running.get(`${task}#${attempt}`);
    if (run !== undefined) setTimeout(() => finish(run, 'stopped'), 50);
    return [200, {}];
  }

  async function hold({ackCursor, expiresMs, waitMs = 0}) {
    extend(expiresMs);
    while (finished.length > 0 && finished[0][0] <= ackCursor) finished.shift();
    if (finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2_000, waitMs));
        waiters.add(wake);
      });
    }
    const rows = [...running.values()].map((run) => {
      const ranMs = Date.now() - run.startedAt;
      // A task that lasts is at work, at 100, after a short startup.
      const percent = Math.floor((100 * ranMs) / run.totalMs);
      const most = run.lasts ? 100 : 99;
      return [run.task, run.attempt, '', Math.min(most, percent)];
    });
    return [200, {running: rows, finished: finished.slice(0, 500)}];
  }

  async function handle(req, res) {
    const body = JSON.parse((await readBody(req)).toString() || '{}');
    const answer = ([status, fields]) => {
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(JSON.stringify({clockMs: clockMs(), ...fields}));
    };
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== id) return answer([421, {}]);
    if ((body.fencingToken ?? 0) < fence)
      return answer([409, {reason: 'fence'}]);
    fence = body.fencingToken ?? 0;
    switch (req.url) {
      case '/v1/run-start':
        return answer(start(body));
      case '/v1/run-stop':
        return answer(stop(body));
      case '/v1/hold':
        return answer(await hold(body));
      default:
        return answer([404, {}]);
    }
  }

  const server = await listen((req, res) => {
    handle(req, res).catch(() => res.destroy());
  }, port);
  const register = () =>
    store.write(
      'keyed.servers',
      id,
      JSON.stringify({
        service,
        addr: addressOf(server),
        zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldRemainingMs: 0,
        seq: ++seq,
        capacity,
        labels,
      }),
    );
  register();
  const beat = setInterval(register, BOUNDS.heartbeatMs);

  function close() {
    isGone = true;
    clearInterval(beat);
    clearTimeout(leaseTimer);
    for (const run of running.values()) {
      clearTimeout(run.timer);
      run.endedAt = Date.now();
      run.how = 'gone';
    }
    running.clear();
    server.close();
    server.closeAllConnections();
  }

  return {
    id,
    labels,
    port: server.address().port,
    running: () => running.size,
    close,
    /** It is lost for good; the store removes its entry after three beats. */
    lose() {
      record(`executor ${id} is lost for good`);
      close();
      setTimeout(
        () => store.write('keyed.servers', id, ''),
        3 * BOUNDS.heartbeatMs,
      ).unref();
    },
  };
}

/* Entries. */

/** Processes that were started and must not outlive the script. */
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
process.on('SIGTERM', () => process.exit(2));
process.on('SIGINT', () => process.exit(2));

function readRunCommand() {
  const text = fs.readFileSync(
    path.join(REPOSITORY, 'deploy/system.toml'),
    'utf8',
  );
  return /^run = "([^"]*)"/m.exec(text)[1].split(' ');
}

async function findFreePorts(ip, count) {
  const servers = [];
  for (let nth = 0; nth < count; nth++) {
    const server = net.createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}

/**
 * Starts one entry as the deploy file says, with the settings of a small
 * deployment, on a loopback address of its own.
 */
export async function startEntry({
  store,
  record,
  folder,
  name,
  zone,
  restarts,
}) {
  const octet = () => 1 + Math.floor(Math.random() * 250);
  const ip = `127.${octet()}.${octet()}.${octet()}`;
  const [front, readiness, peer] = await findFreePorts(ip, 3);
  const settings = {
    nodeName: name,
    role: 'entry',
    machineClass: 'frontend',
    serves: 'frontend',
    ip,
    zone,
    region: 'loopback',
    'listen.front': `${ip}:${front}`,
    'listen.readiness': `${ip}:${readiness}`,
    internalPorts: `${peer},${peer}`,
    bootstrap: 'true',
    'limits.cpuShare': 0.675,
    'limits.cores': 1,
    'limits.memoryMb': 350,
    'limits.maxFds': 4200,
    'limits.linkMbps': '1000.0',
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: BOUNDS.heartbeatMs,
    'bounds.graceS': BOUNDS.graceS,
    'bounds.holdMaxMs': BOUNDS.holdMaxMs,
    'bounds.stopTimeoutMs': BOUNDS.stopTimeoutMs,
    'bounds.gangTimeoutMs': 3000,
    'bounds.status_s': 120,
    'bounds.remoteFactor': 3,
    'bounds.checkpointS': 2,
    'bounds.restoreMs': 600,
    'bounds.requireFencing': 'true',
    controlMode: 'rpc',
    placementAdvisor: '',
    'platform.addr': store.address,
    'platform.form': 'log',
    'platform.recordBytes': BOUNDS.recordBytes,
    'platform.requestBytes': BOUNDS.requestBytes,
  };
  const settingsFile = path.join(folder, `${name}.conf`);
  fs.writeFileSync(
    settingsFile,
    Object.entries(settings)
      .map(([key, value]) => `${key}=${value}\n`)
      .join(''),
  );
  const output = fs.openSync(path.join(folder, `${name}.log`), 'a');
  const [program, ...args] = readRunCommand();
  let child;
  let isStopped = false;
  let ends = 0;

  function spawn() {
    child = childProcess.spawn(program, args, {
      cwd: REPOSITORY,
      stdio: ['ignore', output, output],
      env: {PATH: process.env.PATH, GYPSUMWALL_SETTINGS: settingsFile},
    });
    const started = child;
    children.add(started);
    started.on('exit', (code, signal) => {
      children.delete(started);
      if (isStopped) return;
      ends++;
      record(`entry ${name} has ended: code ${code}, signal ${signal}`);
      if (restarts) setTimeout(() => isStopped || spawn(), 500);
    });
  }

  async function call(method, requestPath, {host, body, timeoutMs = 3_000}) {
    return new Promise((resolve) => {
      const req = http.request(
        {
          host: ip,
          port: front,
          method,
          path: requestPath,
          timeout: timeoutMs,
          headers: {
            host,
            connection: 'close',
            'deadline-ms': timeoutMs,
            ...(body === undefined ? {} : {'content-type': 'application/json'}),
          },
        },
        async (res) => {
          try {
            const text = (await readBody(res)).toString();
            resolve({status: res.statusCode, body: text});
          } catch {
            resolve({status: 0, body: ''});
          }
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve({status: 0, body: ''}));
      req.end(body);
    });
  }

  spawn();
  return {
    name,
    zone,
    front: `${ip}:${front}`,
    call,
    ends: () => ends,
    /** Present and highest memory of the process. */
    memory() {
      try {
        const status = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
        return status.match(/Vm(?:HWM|RSS):.*/g).join(', ');
      } catch {
        return undefined;
      }
    },
    kill(signal) {
      record(`entry ${name}: ${signal}`);
      child.kill(signal);
    },
    isReady: () =>
      new Promise((resolve) => {
        const req = http.get(
          {
            host: ip,
            port: readiness,
            path: '/v1/readyz',
            timeout: 1_000,
            agent: false,
          },
          (res) => {
            res.resume();
            resolve(res.statusCode === 200);
          },
        );
        req.on('timeout', () => req.destroy());
        req.on('error', () => resolve(false));
      }),
    holdsCell: () =>
      new Promise((resolve) => {
        const req = http.get(
          {
            host: ip,
            port: 9464,
            path: '/metrics',
            timeout: 1_000,
            agent: false,
          },
          async (res) => {
            const text = (await readBody(res)).toString();
            resolve(/holds_cell(?:\{[^}]*\})? 1$/m.test(text));
          },
        );
        req.on('timeout', () => req.destroy());
        req.on('error', () => resolve(false));
      }),
    stop() {
      isStopped = true;
      child.kill('SIGKILL');
    },
  };
}

/** A temporary folder for settings and logs. */
export const createFolder = () =>
  fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-review-'));

/** Waits until every entry is ready. */
export async function untilReady(entries, withinMs = 20_000) {
  const until = performance.now() + withinMs;
  for (;;) {
    const ready = await Promise.all(entries.map((entry) => entry.isReady()));
    if (ready.every(Boolean)) return;
    if (performance.now() > until) throw new Error('the entries are not ready');
    await sleep(100);
  }
}

/**
 * A client's call: another entry is tried after no answer, 429, 502, 503 or
 * 504, up to four times more, as the pages say.
 */
export async function callAny(entries, method, requestPath, options) {
  let answer = {status: 0, body: ''};
  const first = Math.floor(Math.random() * entries.length);
  for (let nth = 0; nth < 5; nth++) {
    const entry = entries[(first + nth) % entries.length];
    answer = await entry.call(method, requestPath, options);
    if (![0, 429, 502, 503, 504].includes(answer.status)) break;
    await sleep(100 * 2 ** nth);
  }
  return answer;
}

export const newJobId = () =>
  Array.from(
    {length: 16},
    () => '0123456789abcdef'[Math.floor(Math.random() * 16)],
  ).join('');
