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
    if ((await tryPort(ip, port)) !== undefined) return ip;
  }
  throw new Error(`port ${port}: no free address on loopback`);
}

/** Finds a port that is free now; another process may take it before its use. */
export async function findFreePort(ip: string): Promise<number> {
  const port = await tryPort(ip, 0);
  if (port === undefined) throw new Error(`${ip}: no free port`);
  return port;
}

/** Listens on the port briefly; resolves to undefined if the port is in use. */
function tryPort(
  ip: string,
  requestedPort: number,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(requestedPort, ip, () => {
      const {port} = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
