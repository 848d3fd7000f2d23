/** One client for each peer address, created on its first use. */
import * as peerClient from './peer_client.js';

/** The peer clients of this process. */
export interface PeerClients {
  clientFor(address: string): peerClient.PeerClient;
  /** Closes the client of an address that is no longer a peer's. */
  closeClient(address: string): void;
  close(): void;
}

/** Creates an empty set; all clients have the same default timeout. */
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
    closeClient: (address) => {
      clients.get(address)?.close();
      clients.delete(address);
    },
    close: () => {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
}
