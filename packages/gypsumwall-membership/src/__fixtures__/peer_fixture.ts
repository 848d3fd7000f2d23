/** An entry's peer service, view and clients on real sockets. */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as claimPromises from '../claim_promises.js';
import * as domainViewKeeper from '../domain_view_keeper.js';
import * as peerClients from '../peer_clients.js';
import * as peerServer from '../peer_server.js';

const HOST = '127.0.0.1';
export const LIST_LAG_MS = 1_000;

/** A list that tests write. */
export interface FakeList extends platform.instanceList.InstanceList {
  instances: platform.instanceList.ListedInstance[];
  isDown: boolean;
}

/** Makes an empty list. */
export function createFakeList(): FakeList {
  const list: FakeList = {
    instances: [],
    isDown: false,
    fetch: () =>
      Promise.resolve(
        list.isDown
          ? result.err({
              kind: 'unreachable',
              step: 'list.fetch',
              peer: 'list',
              effect: 'not_run',
              message: 'down',
            })
          : result.ok(list.instances),
      ),
  };
  return list;
}

/** A running entry, as far as its peers see it. */
export interface PeerFixture {
  readonly entryId: types.ids.EntryId;
  readonly address: string;
  readonly view: domainViewKeeper.DomainViewKeeper;
  readonly clients: peerClients.PeerClients;
  leaving: boolean;
  /** Ends it; its port refuses connections afterwards. */
  stop(): Promise<void>;
}

/** Starts an entry that the list doesn't show yet. */
export async function startPeer(
  name: string,
  list: FakeList,
  port = 0,
): Promise<PeerFixture> {
  const clock = types.clock.createSystemClock();
  const entryId = types.ids.brand<types.ids.EntryId>(name);
  const failureDomain = types.ids.brand<types.ids.FailureDomain>('bkk-a');
  const clients = peerClients.createPeerClients(200);
  const stop = new AbortController();
  const ownState = () => ({configOffset: 3, leaving: fixture.leaving});
  const server = await peerServer.createPeerServer({
    self: entryId,
    failureDomain,
    host: HOST,
    port,
    handlers: {
      claim: claimPromises.createClaimPromises(clock),
      leavingInstances: () => view.listedLeavingInstances(),
      ownState,
      onHeartbeat: (req) => view.onHeartbeat(req),
      forward: (req) => Promise.resolve({status: 200, body: req.body}),
      readState: () => Promise.resolve({entryId, nextOffset: 1n}),
    },
  });
  const view = domainViewKeeper.createDomainViewKeeper({
    self: entryId,
    failureDomain,
    address: server.address,
    clock,
    logger: telemetry.logger.createLogger('silent'),
    list,
    clients,
    listPollMs: 20,
    listLagMs: LIST_LAG_MS,
    heartbeatMs: 20,
    silenceMs: 300,
    ownState,
  });
  const running = view.run(stop.signal);
  const fixture: PeerFixture = {
    entryId,
    address: server.address,
    view,
    clients,
    leaving: false,
    stop: async () => {
      stop.abort();
      await running;
      clients.close();
      await server.close(50);
    },
  };
  return fixture;
}

/** A listed entry at an address. */
export function listedEntry(
  address: string,
  state: 'live' | 'leaving' = 'live',
): platform.instanceList.ListedEntry {
  return {
    kind: 'entry',
    id: `instance at ${address}`,
    failureDomain: types.ids.brand('bkk-a'),
    address,
    state,
  };
}

const CONDITION_TIMEOUT_MS = 5_000;

/** Waits for a condition; rejects with `what` if it doesn't come. */
export async function until(what: string, holds: () => boolean) {
  const clock = types.clock.createSystemClock();
  const giveUpAt = types.clock.after(clock.monotonic(), CONDITION_TIMEOUT_MS);
  while (!holds()) {
    if (clock.monotonic() > giveUpAt) throw new Error(`never: ${what}`);
    await clock.sleepUntil(types.clock.after(clock.monotonic(), 5));
  }
}
