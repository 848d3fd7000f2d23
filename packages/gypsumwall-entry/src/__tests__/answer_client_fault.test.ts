import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as answerClientFault from '../answer_client_fault.js';

/** What a server with this handler answers to raw bytes. */
async function answerTo(
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

nodeTest.test('what is no HTTP is refused as not_run', async () => {
  const answer = await answerTo('GARBAGE\r\n\r\n');
  assert.match(answer, /^HTTP\/1\.1 400 /);
  assert.match(answer, /gypsumwall-outcome: not_run/);
  assert.match(answer, /"reason":"invalid"/);
});

nodeTest.test(
  'a body that comes too slowly is refused as not_run',
  async () => {
    const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n';
    const answer = await answerTo(`${head}ab`);
    assert.match(answer, /^HTTP\/1\.1 408 /);
    assert.match(answer, /"outcome":"not_run"/);
  },
);

// A caller sends a whole call and then bytes that are no HTTP. The call runs
// and its answer is under way. A `not_run` now would be read as that answer,
// so the connection is cut, which a caller must take as `unknown`.
nodeTest.test('garbage after a call that runs is no answer to it', async () => {
  let running = 0;
  const call = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n';
  const answer = await answerTo(`${call}GARBAGE\r\n\r\n`, () => {
    running += 1;
  });
  assert.equal(running, 1);
  assert.equal(answer, '');
});
