import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as plainStep from '../../__fixtures__/plain_step.js';
import * as entryClient from '../entry_client.js';
import * as httpServer from '../http_server.js';

const {test} = nodeTest;
const ENTRY = 'entry';
const QUEUE = {
  name: 'q',
  host: 'q.example',
  pathPrefix: '/q/',
  pool: 'p',
  priority: 0,
  maxAttempts: 3,
  slackFactor: 2,
  targetMs: 1_000,
};
const JOB = {
  jobId: '5c0e7a21d94b36f8',
  queue: QUEUE.name,
  payload: 'p',
  steps: [plainStep.createPlainStep()],
};
const TIMEOUT_MS = 1_000;

/** What a caller concludes from each status of a submission. */
const CONCLUSIONS = {
  200: 'ok',
  400: 'refused',
  401: 'unauthorised',
  404: 'absent',
  413: 'refused',
  429: 'refused',
  500: 'unknown',
  502: 'unknown',
  503: 'refused',
  504: 'unknown',
} as const;

// Guards against campaigns that miss a job that ran after its refusal, and
// against ones that count an open outcome as a refusal.
test('only statuses that say that nothing runs count as refusals', async () => {
  let status = 0;
  const server = httpServer.createServer();
  server.post('*', (_req, res) => res.code(status).send({}));
  const listening = await httpServer.listen(server);
  const {address} = listening;
  const client = entryClient.createEntryClient({
    queues: [QUEUE],
    entries: new Map([
      [ENTRY, {callers: address, readiness: address, metrics: address}],
    ]),
  });
  try {
    const concluded: Record<number, string> = {};
    for (status of Object.keys(CONCLUSIONS).map(Number)) {
      const answer = await client.send(
        ENTRY,
        'submit',
        JOB,
        TIMEOUT_MS,
        undefined,
      );
      concluded[status] = answer.type;
    }
    assert.deepEqual(concluded, CONCLUSIONS);
  } finally {
    await client.close();
    await listening.close();
  }
});
