/** One client for each peer address, made when first asked for. */
import * as peerClient from './peer_client.js';

/** This process's clients. */
export interface PeerClients {
  clientFor(address: string): peerClient.PeerClient;
  /** Closes the client of an address that is no peer any more. */
  drop(address: string): void;
  close(): void;
}

/** Makes an empty set; all clients share the timeout, in milliseconds. */
export function createPeerClients(timeoutMs: number): PeerClients {
  const clients = new Map<string, peerClient.PeerClient>();
  return {
    clientFor: (address) => {
      const client =
        clients.get(address) ??
        peerClient.createPeerClient({address, timeoutMs});
      clients.set(address, client);
      return client;
    },
    drop: (address) => {
      clients.get(address)?.close();
      clients.delete(address);
    },
    close: () => {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
}
