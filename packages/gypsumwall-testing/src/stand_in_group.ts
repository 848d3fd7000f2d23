/**
 * Starts the three stand-in processes of a cell and sends their control calls.
 */
import * as path from 'node:path';
import * as url from 'node:url';
import * as undici from 'undici';
import * as child from './child.js';
import type * as historyEvent from './history_event.js';
import type * as site from './site.js';
import type * as standInConfig from './stand_in_config.js';

const STAND_IN_PROGRAM = url.fileURLToPath(
  new URL('./bin/stand_in.js', import.meta.url),
);

/** The stand-in that a control call addresses. */
export type StandInKind = standInConfig.StandInConfig['kind'];

/** The running stand-ins. */
export interface StandInGroup {
  /** Base address of the log and the list. */
  readonly platform: string;
  /** Addresses of workers and upstreams by id. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Sends a control call, for example to set a fault. */
  control(kind: StandInKind, path: string, body: object): Promise<void>;
  /** Returns all events recorded so far, by stand-in. */
  histories(): Promise<historyEvent.HistoryEvent[][]>;
  close(): Promise<void>;
}

/** Starts the platform, the workers and the upstreams of a site. */
export async function startStandIns(
  cellSite: site.Site,
  instances: site.SiteInstances,
  options: {readonly seed: number; readonly folder: string},
): Promise<StandInGroup> {
  const {seed, folder} = options;
  const {clockSkewMs, usageLagMs} = cellSite;
  const configs: standInConfig.StandInConfigInput[] = [
    {kind: 'platform', ...cellSite.platform},
    {
      kind: 'workers',
      seed,
      usageLagMs,
      workers: instances.workers.map(({id, capacity}, index) => {
        // Spreads the offsets over the whole range, the same way in each run.
        const clockOffsetMs = (((index * 7) % 11) / 5 - 1) * clockSkewMs;
        return {id, capacity, clockOffsetMs};
      }),
    },
    {
      kind: 'upstreams',
      upstreams: instances.upstreams.map(({id, slots, connections}) => {
        return {id, slots, connections};
      }),
    },
  ];
  const children = configs.map((cfg) => ({
    kind: cfg.kind,
    child: child.startChild({
      name: cfg.kind,
      args: [STAND_IN_PROGRAM, JSON.stringify(cfg)],
      logFile: path.join(folder, `${cfg.kind}.log`),
    }),
  }));
  const addresses: Record<string, string> = {};
  const controlUrls = new Map<string, string>();
  for (const {kind, child: started} of children) {
    const readyLine = await child.waitForStandIn(started);
    Object.assign(addresses, readyLine.addresses);
    controlUrls.set(kind, readyLine.control);
  }
  return {
    platform: addresses.platform ?? '',
    addresses,
    control: async (kind, callPath, body) => {
      await callControl(
        'POST',
        `${controlUrls.get(kind)}/control/${callPath}`,
        body,
      );
    },
    histories: () =>
      Promise.all(
        [...controlUrls.values()].map((control) => fetchHistory(control)),
      ),
    close: async () => {
      for (const {child: started} of children) started.sendSignal('SIGKILL');
      await Promise.all(children.map(({child: started}) => started.exited));
    },
  };
}

async function fetchHistory(
  control: string,
): Promise<historyEvent.HistoryEvent[]> {
  const answer = await callControl('GET', `${control}/control/history`);
  return (answer as {events: historyEvent.HistoryEvent[]}).events;
}

async function callControl(
  method: 'GET' | 'POST',
  address: string,
  body?: object,
): Promise<unknown> {
  const res = await undici.request(address, {
    method,
    headers: {'content-type': 'application/json'},
    body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode !== 200) throw new Error(`${address}: ${text}`);
  return JSON.parse(text);
}
