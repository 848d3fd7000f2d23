/**
 * The entries that take part in the cell, as they registered themselves in the
 * jobs' log, and the adviser as reached through each. One that doesn't answer
 * is passed over for a while.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as httpClient from './http_client.js';
import * as peerProtocol from './peer_protocol.js';
import type * as ports from './ports.js';
import type * as storeRecords from './store_records.js';

/** How long a peer that didn't answer is passed over; milliseconds. */
const PASS_OVER_MS = 2_000;
/** Connections to one peer: calls wait on each other at the adviser anyway. */
const CONNECTIONS = 8;

interface Peer {
  readonly record: storeRecords.EntryRecord;
  readonly client: httpClient.HttpClient;
  readonly adviser: ports.Adviser;
  passedOverUntil: types.clock.MonotonicMs;
}

/** The peers of one entry. */
export interface PeerDirectory {
  /** Folds a record of an entry; its own is left out. */
  apply(instance: string, record: storeRecords.EntryRecord | undefined): void;
  /** Peers that may be asked now, by instance. */
  advisers(): Map<string, ports.Adviser>;
  close(): void;
}

/** Creates an empty directory. */
export function createPeerDirectory(
  self: string,
  clock: types.clock.Clock,
): PeerDirectory {
  const peers = new Map<string, Peer>();

  function open(record: storeRecords.EntryRecord): Peer {
    const client = httpClient.createHttpClient(record.address, CONNECTIONS);
    const direct = peerProtocol.createPeerAdviser(client);
    const peer: Peer = {
      record,
      client,
      passedOverUntil: clock.monotonic(),
      adviser: {
        async ask(stepRunId, workers, timeoutMs) {
          const answer = await direct.ask(stepRunId, workers, timeoutMs);
          if (result.isErr(answer)) {
            const now = clock.monotonic();
            peer.passedOverUntil = types.clock.after(now, PASS_OVER_MS);
          }
          return answer;
        },
      },
    };
    return peer;
  }

  return {
    apply(instance, record) {
      if (instance === self) return;
      peers.get(instance)?.client.close();
      if (record === undefined) peers.delete(instance);
      else peers.set(instance, open(record));
    },
    advisers() {
      const now = clock.monotonic();
      const found = new Map<string, ports.Adviser>();
      for (const [instance, peer] of peers) {
        if (peer.passedOverUntil <= now) found.set(instance, peer.adviser);
      }
      return found;
    },
    close() {
      for (const peer of peers.values()) peer.client.close();
    },
  };
}
