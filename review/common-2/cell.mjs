/**
 * A small deployment on loopback addresses: entries as the deploy file starts
 * them, a store, executors, and clients behind a balancer that is a turn.
 */
import {spawn} from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import {startStore} from './store.mjs';
import {startWorker} from './worker.mjs';

const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../..',
);
const METRICS_PORT = 9_464;
const ZONES = ['bkk-a', 'bkk-b', 'ayt-c'];
const RESTART_MS = 500;
const GRACE_MS = 6_000;
/** The list drops an executor after three missed heartbeats. */
const LIST_EXPIRY_MS = 4_500;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => {
      const {port: found} = server.address();
      server.close(() => resolve(found));
    });
  });
}

/** A loopback address on which the port of the metrics is free. */
async function findHost() {
  for (let tries = 0; tries < 100; tries++) {
    const part = () => 1 + Math.floor(Math.random() * 253);
    const host = `127.${part()}.${part()}.${part()}`;
    if (await isFree(host, METRICS_PORT)) return host;
  }
  throw new Error('no free loopback address');
}

function readCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "node (.+)"$/m.exec(text)[1].split(' ');
}

/** The settings of DEPLOY.md with the figures of the Skyroute sheet. */
function settingsOf({name, host, zone, ports, store, adviser}) {
  return Object.entries({
    nodeName: name,
    role: 'entry',
    machineClass: 'frontend',
    serves: 'frontend',
    ip: host,
    zone,
    region: 'th-central',
    ...Object.fromEntries(ZONES.map((one) => [`zones.${one}`, 'th-central'])),
    'listen.front': `${host}:${ports[0]}`,
    'listen.readiness': `${host}:${ports[1]}`,
    internalPorts: `${ports[2]},${ports[2]}`,
    bootstrap: 'true',
    faultCounted: 'false',
    'limits.cpuShare': 0.675,
    'limits.cores': 1,
    'limits.memoryMb': 350,
    'limits.maxFds': 4100,
    'limits.linkMbps': '1000.0',
    'limits.diskMb': 0,
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: 1500,
    contracts:
      'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
    'bounds.contactMs': 3000,
    'bounds.ackMs': 4000,
    'bounds.drainMs': 2000,
    'bounds.graceS': GRACE_MS / 1_000,
    'bounds.configApplyMs': 2000,
    'bounds.recoverS': 12,
    'bounds.holdMaxMs': 6000,
    'bounds.stopTimeoutMs': 400,
    'bounds.gangTimeoutMs': 3000,
    'bounds.cancel_ms': 3000,
    'bounds.visible_ms': 3000,
    'bounds.early_ms': 250,
    'bounds.finish_s': 14,
    'bounds.status_s': 120,
    'bounds.remoteFactor': 1.5,
    'bounds.checkpointS': 2,
    'bounds.restoreMs': 600,
    'bounds.requireFencing': 'true',
    'bounds.leaseMs': 3000,
    controlMode: 'rpc',
    placementAdvisor: adviser ?? '',
    'platform.addr': store,
    'platform.form': 'log',
    'platform.writesPerS': 600,
    'platform.readsPerS': 2000,
    'platform.parts': 8,
    'platform.appendMs': '4.0',
    'platform.recordBytes': 262144,
    'platform.requestBytes': 2097152,
    'platform.keep_s': 20,
    'platform.partitionMb': 200,
    'platform.ttlMinMs': 1000,
  })
    .map(([field, value]) => `${field}=${value}\n`)
    .join('');
}

async function createEntry({name, zone, store, folder}) {
  const host = await findHost();
  const found = new Set();
  while (found.size < 3) found.add(await isFree(host, 0));
  const ports = [...found];
  const settings = path.join(folder, `${name}.conf`);
  fs.writeFileSync(settings, settingsOf({name, host, zone, ports, store}));
  const log = path.join(folder, `${name}.log`);
  let child;
  let isClosed = false;

  function start() {
    if (isClosed) return;
    const out = fs.openSync(log, 'a');
    const started = spawn(process.execPath, readCommand(), {
      cwd: ROOT,
      env: {PATH: process.env.PATH ?? '', GYPSUMWALL_SETTINGS: settings},
      stdio: ['ignore', out, out],
    });
    fs.closeSync(out);
    child = started;
    started.once('exit', () => setTimeout(start, RESTART_MS));
  }
  start();

  return {
    name,
    front: `${host}:${ports[0]}`,
    /** SIGTERM, and SIGKILL after the grace period; it starts again. */
    async terminate() {
      const target = child;
      target.kill('SIGTERM');
      const timer = setTimeout(() => target.kill('SIGKILL'), GRACE_MS);
      await new Promise((resolve) => target.once('exit', resolve));
      clearTimeout(timer);
    },
    kill() {
      isClosed = true;
      child.kill('SIGKILL');
    },
    async close() {
      isClosed = true;
      child.kill('SIGKILL');
      if (child.exitCode === null && child.signalCode === null)
        await new Promise((resolve) => child.once('exit', resolve));
    },
  };
}

/** The queue of the clients: what `op/config` says of it. */
export const QUEUE = {host: 'nony24.example', prefix: '/lohu930/'};

function configOf(version) {
  return {
    version,
    routes: [
      {
        name: 'airspace',
        host: QUEUE.host,
        pathPrefix: QUEUE.prefix,
        kind: 'unsafe',
        timeoutMs: 3000,
        service: 'planner',
        targetLatencyMs: 1000,
        maxAttempts: 4,
        slackFactor: 2,
      },
    ],
    services: [
      {
        name: 'planner',
        healthPath: '/healthz',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/** Starts everything and waits until the entries are ready. */
export async function startCell({
  workers,
  entries = 3,
  plan,
  recordFile,
  backAfterMs = 4_000,
  kindOf = () => 'a',
}) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-review-'));
  const machines = [];
  // A fault of the stand-ins, or a signal, is no broken rule.
  const abandon = (cause) => {
    console.error(cause);
    for (const one of machines) one.kill();
    fs.rmSync(folder, {recursive: true, force: true});
    process.exit(2);
  };
  process.on('uncaughtException', abandon);
  process.on('SIGTERM', abandon);
  process.on('SIGINT', abandon);
  const record = fs.createWriteStream(recordFile);
  const startedAt = performance.now();
  const seconds = () => ((performance.now() - startedAt) / 1_000).toFixed(3);
  const note = (text) => record.write(`${seconds()} ${text}\n`);
  const events = [];
  const onEvent = (event) => {
    events.push({at: performance.now() - startedAt, ...event});
    const {type, worker, task, attempt, how, reason} = event;
    note(`run ${type} ${task}#${attempt} on ${worker} ${how ?? reason ?? ''}`);
  };
  const store = await startStore({host: await findHost(), note});
  store.write('keyed.op', 'config', configOf(7));
  const executors = [];
  let isClosing = false;

  /** Starts the next life of an executor, under a new id. */
  async function startExecutor(nth, port) {
    if (isClosing) return;
    executors[nth] = await startWorker({
      host: workerHost,
      port,
      id: newId(),
      zone: ZONES[nth % 3],
      kind: kindOf(nth),
      rack: `r${nth % 3}-${Math.floor(nth / 24)}`,
      capacity: {cpu: 16000, memMb: 32768, gpu: 0},
      service: 'planner',
      store,
      plan,
      onEvent,
      onCrash({id, port: own}) {
        setTimeout(() => {
          store.write('keyed.servers', id, undefined);
        }, LIST_EXPIRY_MS);
        setTimeout(() => void startExecutor(nth, own), backAfterMs);
      },
    });
  }

  const workerHost = await findHost();
  for (let nth = 0; nth < workers; nth++) await startExecutor(nth, 0);
  for (let nth = 0; nth < entries; nth++) {
    const zone = ZONES[nth % 3];
    const name = `frontend-${zone}-${1 + Math.floor(nth / 3)}`;
    machines.push(
      await createEntry({name, zone, store: store.address, folder}),
    );
  }
  const agent = new http.Agent({keepAlive: false});
  let turn = 0;

  /** One call of a client; without an answer, `status` is 0. */
  function call(method, id, body, machine = machines[turn++ % entries]) {
    return new Promise((resolve) => {
      const [host, port] = machine.front.split(':');
      const req = http.request({
        agent,
        host,
        port,
        method,
        path: QUEUE.prefix + id,
        headers: {
          host: QUEUE.host,
          'content-type': 'application/json',
          'deadline-ms': '3000',
        },
        timeout: 3_000,
      });
      const done = (status, answer) => {
        if (method !== 'GET' || id !== '')
          note(
            `call ${method} ${id} at ${machine.name}: ${status || 'no answer'} ${method === 'GET' ? JSON.stringify(answer) : ''}`,
          );
        resolve({status, body: answer});
      };
      req.once('timeout', () => req.destroy(new Error('deadline')));
      req.once('error', () => done(0, undefined));
      req.once('response', async (res) => {
        const chunks = [];
        try {
          for await (const chunk of res) chunks.push(chunk);
          const text = Buffer.concat(chunks).toString();
          done(res.statusCode, text === '' ? undefined : JSON.parse(text));
        } catch {
          done(0, undefined);
        }
      });
      req.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Hands a job in as a client does; true once it is accepted. */
  async function submit(id, body) {
    for (let tries = 0; tries < 5; tries++) {
      const {status} = await call('POST', id, body);
      if (status === 200) return true;
      if (status === 429 || status === 503 || status === 404) return false;
      if (status === 400 || status === 413) return false;
      await sleep(200);
    }
    return false;
  }

  async function ready() {
    for (let tries = 0; tries < 200; tries++) {
      const answers = await Promise.all(
        machines.map((one) => call('GET', '', undefined, one)),
      );
      if (answers.every(({status}) => status === 200)) return true;
      await sleep(100);
    }
    return false;
  }

  return {
    store,
    executors,
    machines,
    events,
    folder,
    note,
    call,
    submit,
    ready,
    now: () => performance.now() - startedAt,
    /** The machine whose process holds the cell, by the log. */
    holder() {
      const claim = store.peek('keyed.gypsumwall-cell', 'claim');
      return machines.find(({name}) => name === claim?.instance);
    },
    claim: () => store.peek('keyed.gypsumwall-cell', 'claim'),
    runningOf: (prefix) =>
      executors
        .flatMap((one) => one.running())
        .filter(({task}) => task.startsWith(prefix)).length,
    async close(keepLogs = false) {
      isClosing = true;
      await Promise.all(machines.map((one) => one.close()));
      for (const one of executors) one.close();
      store.close();
      agent.destroy();
      await new Promise((resolve) => record.end(resolve));
      if (!keepLogs) fs.rmSync(folder, {recursive: true, force: true});
    },
  };
}

/** A random job id. */
export function newId() {
  let id = '';
  while (id.length < 16) id += Math.floor(Math.random() * 16).toString(16);
  return id;
}
