/**
 * Measures what heartbeats cost: processor time of both ends together, and
 * bytes on the wire, over real sockets of this machine.
 */
import * as net from 'node:net';
import * as types from '@gypsumwall/types';
import * as claimPromises from '../claim_promises.js';
import * as peerClients from '../peer_clients.js';
import * as peerServer from '../peer_server.js';

/** Cost at one number of peers. */
export interface HeartbeatCost {
  readonly peers: number;
  readonly heartbeats: number;
  /** Of sender and answerer together. */
  readonly cpuMicrosPerHeartbeat: number;
  /** Of request and answer together, without TCP and IP headers. */
  readonly bytesPerHeartbeat: number;
}

const HOST = '127.0.0.1';
const TIMEOUT_MS = 2_000;
/** The same for all numbers of peers, so that only their number differs. */
const HEARTBEATS_A_SECOND = 400;
const WARM_UP_HEARTBEATS = 1_600;
const RELAYED_HEARTBEATS = 200;

/** Sends heartbeats to so many peers in turn, and counts. */
export async function measureHeartbeats(
  peers: number,
  heartbeats: number,
): Promise<HeartbeatCost> {
  const clock = types.clock.createSystemClock();
  const clients = peerClients.createPeerClients(TIMEOUT_MS);
  const servers = await Promise.all(
    Array.from({length: peers}, (_, index) => startServer(clock, index)),
  );
  const [first] = servers;
  if (first === undefined) throw new Error(`peers is ${peers}, not 1 or more`);
  const relay = await startRelay(Number(new URL(first.address).port));

  async function beat(address: string) {
    const answer = await clients.clientFor(address).heartbeat({
      entryId: 'entry-0123456789abcdef',
      failureDomain: 'merkato-hall',
      address: 'http://127.0.0.1:54321',
      configOffset: 26_000n,
      leaving: false,
    });
    if (answer.isErr) throw new Error(answer.error.message);
  }

  async function run(count: number) {
    const startedAt = clock.monotonic();
    const beats = Array.from({length: count}, async (_, index) => {
      const offsetMs = (index * 1_000) / HEARTBEATS_A_SECOND;
      await clock.sleepUntil(types.clock.after(startedAt, offsetMs));
      await beat(servers[index % peers]?.address ?? '');
    });
    await Promise.all(beats);
  }

  await run(WARM_UP_HEARTBEATS);
  const before = process.cpuUsage();
  await run(heartbeats);
  const used = process.cpuUsage(before);
  for (let count = 0; count < RELAYED_HEARTBEATS; count++) {
    await beat(relay.address);
  }
  const bytesBefore = relay.bytes();
  for (let count = 0; count < RELAYED_HEARTBEATS; count++) {
    await beat(relay.address);
  }
  const bytes = relay.bytes() - bytesBefore;
  clients.close();
  relay.close();
  await Promise.all(servers.map((server) => server.close(0)));
  return {
    peers,
    heartbeats,
    cpuMicrosPerHeartbeat: Math.round((used.user + used.system) / heartbeats),
    bytesPerHeartbeat: Math.round(bytes / RELAYED_HEARTBEATS),
  };
}

async function startServer(clock: types.clock.Clock, index: number) {
  const entryId = types.ids.brand<types.ids.EntryId>(`entry-${index}`);
  return peerServer.createPeerServer({
    self: entryId,
    failureDomain: types.ids.brand('merkato-hall'),
    host: HOST,
    port: 0,
    handlers: {
      claim: claimPromises.createClaimPromises(clock),
      ownState: () => ({configOffset: 26_000, leaving: false, heldEpoch: 9}),
      leavingInstances: () => [],
      onHeartbeat: () => undefined,
      forward: () => Promise.resolve({status: 501}),
      readState: () => Promise.resolve({entryId}),
    },
  });
}

/** Counts the bytes between one client and one server. */
async function startRelay(port: number) {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    const upstream = net.connect(port, HOST);
    socket.pipe(upstream);
    upstream.pipe(socket);
    for (const end of [socket, upstream]) end.on('error', () => end.destroy());
    sockets.push(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const address = server.address() as net.AddressInfo;
  return {
    address: `http://${HOST}:${address.port}`,
    bytes: () =>
      sockets.reduce(
        (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
        0,
      ),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
