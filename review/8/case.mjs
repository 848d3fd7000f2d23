/**
 * A client hands in a job of two steps whose second one names the first one very
 * often in `after`, in a body within the limit. Other jobs come as before. With
 * TROUBLE=0 the first step is named once.
 */
import * as path from 'node:path';
import * as url from 'node:url';
import * as platform from '../stand-ins-3/platform.mjs';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = platform.createRecord(path.join(folder, 'record.txt'));

const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const EXECUTORS = 33;
const HOST = 'jobs.example';
const PREFIX = '/plans/';
/** The body has some 259,000 bytes, of 262,144 allowed. */
const NAMED = isTroubled ? 129_500 : 1;
const STEP_MS = 100;
const PLAIN_MS = 300;
const PLAIN_INTERVAL_MS = 500;
const LENGTH_MS = 40_000;

async function main() {
  const runs = [];
  const store = await platform.startStore(record);
  const temporary = platform.createFolder();
  const executors = [];
  const entries = [];
  const close = () => {
    for (const entry of entries) entry.stop();
    for (const executor of executors) executor.close();
    store.close();
  };
  try {
    store.write('keyed.op', 'config', JSON.stringify(configuration()));
    for (let nth = 0; nth < EXECUTORS; nth++) {
      const zone = ZONES[nth % 3];
      executors.push(
        await platform.startExecutor({
          store,
          record,
          runs,
          id: `executor-${nth}`,
          service: 'desk',
          zone,
          labels: ['general', `${zone}-rack`],
          capacity: {cpu: 16_000, memMb: 32_768, gpu: 0},
          workOf: (task, spec) => ({
            workMs: spec === 'plain' ? PLAIN_MS : STEP_MS,
          }),
        }),
      );
    }
    for (const zone of ZONES)
      entries.push(
        await platform.startEntry({
          store,
          record,
          folder: temporary,
          name: `entry-${zone}`,
          zone,
          restarts: true,
        }),
      );
    await platform.untilReady(entries);
    record('all entries are ready');
    return await play({runs, store, entries});
  } finally {
    close();
  }
}

function configuration() {
  return {
    version: 1,
    routes: [
      {
        name: 'plans',
        host: HOST,
        pathPrefix: PREFIX,
        kind: 'unsafe',
        timeoutMs: 3_000,
        targetLatencyMs: 1_000,
        priority: 1,
        service: 'desk',
        maxAttempts: 3,
        slackFactor: 2,
      },
    ],
    services: [{name: 'desk', healthPath: '/healthz', maxConns: 64}],
    limits: {maxBodyBytes: 262_144, idleTimeoutMs: 15_000},
  };
}

async function play({runs, store, entries}) {
  const submit = (id, body) =>
    platform.callAny(entries, 'POST', PREFIX + id, {
      host: HOST,
      body: JSON.stringify(body),
    });
  const plain = [];
  const sendPlain = () => {
    const id = platform.newJobId();
    const sentAt = Date.now();
    void submit(id, {
      spec: 'plain',
      phases: [{count: 1, cpu: 1_000, memMb: 512, estimateMs: PLAIN_MS}],
    }).then(({status}) => {
      record(`job ${id}: POST ${status}`);
      if (status === 200) plain.push({id, sentAt});
    });
  };
  for (let nth = 0; nth < 10; nth++) {
    sendPlain();
    await platform.sleep(PLAIN_INTERVAL_MS);
  }
  const long = platform.newJobId();
  const step = {count: 1, cpu: 100, memMb: 64, estimateMs: STEP_MS};
  const after = Array.from({length: NAMED}, () => 0);
  const body = {spec: 'long', phases: [step, {...step, after}]};
  const answer = await submit(long, body);
  record(
    `job ${long} with a body of ${JSON.stringify(body).length} bytes: POST ${answer.status}`,
  );
  const until = performance.now() + LENGTH_MS;
  while (performance.now() < until) {
    sendPlain();
    await platform.sleep(PLAIN_INTERVAL_MS);
  }
  record('the traffic ends');
  await platform.sleep(platform.BOUNDS.finishS * 1_000 + 3_000);
  return judge({runs, store, entries, plain, long});
}

/** Ends of processes by themselves, and LOST. */
async function judge({runs, store, entries, plain, long}) {
  let broken = 0;
  let completed = 0;
  const states = await Promise.all(
    plain.map(({id}) =>
      platform.callAny(entries, 'GET', PREFIX + id, {host: HOST}),
    ),
  );
  for (const [nth, {id, sentAt}] of plain.entries()) {
    const {status, body} = states[nth];
    const {state} = status === 200 ? JSON.parse(body) : {};
    if (state === 'completed') {
      completed++;
      continue;
    }
    const own = runs.filter(({task}) => task.startsWith(`${id}.`));
    const isIdle = own.every(
      ({endedAt}) => endedAt !== undefined && Date.now() - endedAt > 3_000,
    );
    const ageS = ((Date.now() - sentAt) / 1000).toFixed(1);
    if (isIdle || status !== 200) broken++;
    record(
      `job ${id}, accepted ${ageS} s ago: GET ${status} ${state ?? ''}, ${own.length} runs`,
    );
  }
  const ofLong = runs.filter(({task}) => task.startsWith(long));
  const ends = entries.map((entry) => `${entry.name} ${entry.ends()}`);
  const crashed = entries.filter((entry) => entry.ends() >= 3).length;
  record(
    `${plain.length} jobs accepted, ${completed} shown as completed, ${broken} accepted and not running; runs of the long job: ${ofLong.length}; processes that ended by themselves: ${ends.join(', ')}; appends refused by the store: ${store.refused.calls}`,
  );
  return crashed >= 2 || broken > 0 ? 1 : 0;
}

main().then(
  (code) => {
    record(
      ['the rules held', 'a rule is broken', "the case couldn't run"][code],
    );
    process.exit(code);
  },
  (thrown) => {
    record(`the case couldn't run: ${thrown.stack}`);
    process.exit(2);
  },
);
