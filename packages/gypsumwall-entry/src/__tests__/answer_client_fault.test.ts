import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as answerClientFault from '../answer_client_fault.js';

/** Sends raw bytes to a server with this handler and returns its answer. */
async function sendBytes(
  bytes: string,
  onRequest: http.RequestListener = () => undefined,
): Promise<string> {
  const options = {requestTimeout: 200, connectionsCheckingInterval: 20};
  const server = http.createServer(options, onRequest);
  server.on('clientError', (err, socket) => {
    answerClientFault.answerClientFault(err, socket as net.Socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  let answer = '';
  socket.setEncoding('utf8').on('data', (text: string) => (answer += text));
  socket.on('error', () => undefined);
  socket.write(bytes);
  await new Promise((resolve) => socket.on('close', resolve));
  server.close();
  return answer;
}

nodeTest.test('malformed HTTP is refused with not_run', async () => {
  const answer = await sendBytes('GARBAGE\r\n\r\n');
  assert.match(answer, /^HTTP\/1\.1 400 /);
  assert.match(answer, /gypsumwall-outcome: not_run/);
  assert.match(answer, /"reason":"invalid"/);
});

nodeTest.test(
  'a body that arrives too slowly is refused with not_run',
  async () => {
    const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n';
    const answer = await sendBytes(`${head}ab`);
    assert.match(answer, /^HTTP\/1\.1 408 /);
    assert.match(answer, /"outcome":"not_run"/);
  },
);

// A caller sends a complete call and then bytes that are not HTTP, while the
// call still runs. The caller would take a `not_run` for the answer to that
// call, so the connection is closed, which callers must treat as `unknown`.
nodeTest.test(
  'invalid bytes after a call that runs get no answer',
  async () => {
    let running = 0;
    const call = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n';
    const answer = await sendBytes(`${call}GARBAGE\r\n\r\n`, () => {
      running += 1;
    });
    assert.equal(running, 1);
    assert.equal(answer, '');
  },
);
