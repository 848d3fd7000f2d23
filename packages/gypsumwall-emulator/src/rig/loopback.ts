/** Finds loopback addresses and ports that no other process uses. */
import * as net from 'node:net';
import type * as types from '@gypsumwall/types';

const MIN_BYTE = 1;
const MAX_BYTE = 254;
const MAX_TRIES = 50;

/** Finds an address on which the port is free. */
export async function findFreeIp(
  random: types.random.Random,
  port: number,
): Promise<string> {
  for (let nth = 0; nth < MAX_TRIES; nth++) {
    const ipBytes = Array.from({length: 3}, () =>
      random.integer(MIN_BYTE, MAX_BYTE),
    );
    const ip = ['127', ...ipBytes].join('.');
    const server = await listenOn(ip, port);
    if (server === undefined) continue;
    await close(server);
    return ip;
  }
  throw new Error(`port ${port}: no free address on loopback`);
}

/** Finds ports that are free now; another process may take one before its use. */
export async function findFreePorts(
  ip: string,
  count: number,
): Promise<number[]> {
  // All are held until the last is found, or two of them could be the same.
  const servers = await Promise.all(
    Array.from({length: count}, () => listenOn(ip, 0)),
  );
  const ports = servers.map((server) => {
    if (server === undefined) throw new Error(`${ip}: no free port`);
    return (server.address() as net.AddressInfo).port;
  });
  await Promise.all(servers.map((server) => close(server!)));
  return ports;
}

/** Resolves to undefined if the port is in use. */
function listenOn(ip: string, port: number): Promise<net.Server | undefined> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, ip, () => resolve(server));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
