import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as relay from '../relay.js';

function once(emitter: net.Socket | net.Server, name: string) {
  return new Promise<unknown>((resolve) => emitter.once(name, resolve));
}

async function startEcho(test: nodeTest.TestContext): Promise<relay.Relay> {
  const echo = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const {port} = echo.address() as net.AddressInfo;
  const path = await relay.createRelay({host: '127.0.0.1', port});
  test.after(async () => {
    await path.close();
    echo.close();
  });
  return path;
}

async function open(path: relay.Relay): Promise<net.Socket> {
  const {hostname, port} = new URL(path.address);
  const socket = net.connect(Number(port), hostname);
  await once(socket, 'connect');
  return socket;
}

async function echoOf(socket: net.Socket, text: string): Promise<string> {
  socket.write(text);
  const chunk = (await once(socket, 'data')) as Buffer;
  return chunk.toString();
}

nodeTest.describe('relay', {timeout: 10_000}, () => {
  nodeTest.test('forwards after a heal what a cut held back', async (test) => {
    const path = await startEcho(test);
    const socket = await open(path);
    assert.equal(await echoOf(socket, 'a'), 'a');
    path.cut();
    const late = echoOf(socket, 'b');
    const during = await open(path);
    const broken = once(during, 'close');
    path.heal();
    assert.equal(await late, 'b');
    await broken;
    socket.destroy();
  });

  nodeTest.test(
    'refuses connections to an ended target after a cut',
    async (test) => {
      const path = await startEcho(test);
      path.cut();
      path.refuseConnections();
      const held = await open(path);
      const broken = once(held, 'close');
      path.heal();
      await broken;
      const {hostname, port} = new URL(path.address);
      const err = await once(net.connect(Number(port), hostname), 'error');
      assert.equal((err as NodeJS.ErrnoException).code, 'ECONNREFUSED');
    },
  );

  nodeTest.test('silences open connections; new ones work', async (test) => {
    const path = await startEcho(test);
    const old = await open(path);
    assert.equal(await echoOf(old, 'a'), 'a');
    path.silenceOpen();
    let answered = false;
    old.on('data', () => (answered = true));
    old.write('b');
    const fresh = await open(path);
    assert.equal(await echoOf(fresh, 'c'), 'c');
    assert.equal(answered, false);
    old.destroy();
    fresh.destroy();
  });

  nodeTest.test(
    'stops one direction and forwards it again when healed',
    async (test) => {
      const path = await startEcho(test);
      const socket = await open(path);
      assert.equal(await echoOf(socket, 'a'), 'a');
      path.cutOneWay();
      let answered = false;
      const late = echoOf(socket, 'b').then((text) => {
        answered = true;
        return text;
      });
      const during = await open(path);
      // Once another relay has returned three echoes, this one would have as
      // well.
      const other = await open(await startEcho(test));
      for (const text of ['x', 'y', 'z']) await echoOf(other, text);
      assert.equal(answered, false);
      other.destroy();
      path.heal();
      assert.equal(await late, 'b');
      assert.equal(await echoOf(during, 'c'), 'c');
      socket.destroy();
      during.destroy();
    },
  );

  nodeTest.test('delays both directions until it is healed', async (test) => {
    const path = await startEcho(test);
    const socket = await open(path);
    path.delay(60);
    const sentAt = performance.now();
    assert.equal(await echoOf(socket, 'a'), 'a');
    assert.ok(performance.now() - sentAt >= 119, 'the round trip is too short');
    path.heal();
    assert.equal(await echoOf(socket, 'b'), 'b');
    socket.destroy();
  });

  nodeTest.test('resets open connections; new ones work', async (test) => {
    const path = await startEcho(test);
    const old = await open(path);
    assert.equal(await echoOf(old, 'a'), 'a');
    const broken = once(old, 'error');
    path.reset();
    assert.equal(((await broken) as NodeJS.ErrnoException).code, 'ECONNRESET');
    const fresh = await open(path);
    assert.equal(await echoOf(fresh, 'b'), 'b');
    fresh.destroy();
  });
});
