/** The three stand-in processes of a cell, and their control calls. */
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

/** Which stand-in a control call is for. */
export type StandInKind = standInConfig.StandInConfig['kind'];

/** The running stand-ins. */
export interface StandInGroup {
  /** Base address of the log and the list. */
  readonly platform: string;
  /** Addresses of workers and upstreams by id. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Sets a fault or another state. */
  control(kind: StandInKind, path: string, body: object): Promise<void>;
  /** Everything recorded so far. */
  histories(): Promise<historyEvent.HistoryEvent[][]>;
  close(): Promise<void>;
}

/** Starts the platform, the workers and the upstreams of a site. */
export async function startStandIns(
  where: site.Site,
  instances: site.SiteInstances,
  options: {readonly seed: number; readonly folder: string},
): Promise<StandInGroup> {
  const {seed, folder} = options;
  const {clockSkewMs, usageLagMs} = where;
  const configs: standInConfig.StandInConfigInput[] = [
    {kind: 'platform', ...where.platform},
    {
      kind: 'workers',
      seed,
      usageLagMs,
      workers: instances.workers.map(({id, capacity}, index) => {
        // Spread over the whole skew, the same in each run.
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
  const controls = new Map<string, string>();
  for (const {kind, child: started} of children) {
    const line = await child.standInReady(started);
    Object.assign(addresses, line.addresses);
    controls.set(kind, line.control);
  }
  return {
    platform: addresses.platform ?? '',
    addresses,
    control: async (kind, callPath, body) => {
      await call('POST', `${controls.get(kind)}/control/${callPath}`, body);
    },
    histories: () =>
      Promise.all([...controls.values()].map((control) => fetchAll(control))),
    close: async () => {
      for (const {child: started} of children) started.sendSignal('SIGKILL');
      await Promise.all(children.map(({child: started}) => started.exited));
    },
  };
}

async function fetchAll(control: string): Promise<historyEvent.HistoryEvent[]> {
  const answer = await call('GET', `${control}/control/history`);
  return (answer as {events: historyEvent.HistoryEvent[]}).events;
}

async function call(
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
