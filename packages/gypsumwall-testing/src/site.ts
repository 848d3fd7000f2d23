/**
 * The site of a cell: its failure domains and the instances in each of them.
 */
import * as zod from 'zod';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as standInConfig from './stand_in_config.js';

const count = zod.number().int().min(0);

/** Schema of `site.jsonc`. */
export const siteSchema = zod.strictObject({
  failureDomains: zod
    .array(
      zod.strictObject({
        name: zod.string().min(1),
        entries: count,
        upstreams: count,
        racks: count,
      }),
    )
    .min(1),
  workersPerRack: count,
  workerCapacity: standInConfig.resourcesSchema,
  upstream: zod.strictObject({
    slots: zod.number().int().positive(),
    connections: zod.number().int().positive(),
  }),
  platform: standInConfig.platformConfigSchema.omit({kind: true}).prefault({}),
  usageLagMs: count.default(500),
  /** Maximum offset of a worker's clock, in either direction. */
  clockSkewMs: count.default(60_000),
  /**
   * Settings of every entry, in addition to its id, failure domain and
   * addresses.
   */
  entrySettings: zod.record(zod.string(), zod.unknown()).default({}),
});

/** Tokens of a site's callers and operators, for tests only. */
export const tokensSchema = zod.strictObject({
  rootOperator: zod.string(),
  teams: zod.record(zod.string(), zod.string()),
  operators: zod.record(zod.string(), zod.string()),
});

/** Validated site and tokens. */
export type Site = zod.infer<typeof siteSchema>;
export type Tokens = zod.infer<typeof tokensSchema>;

/** An entry to start. */
export interface SiteEntry {
  readonly id: string;
  readonly failureDomain: types.ids.FailureDomain;
}

type InstanceIdentity<Instance> = Omit<Instance, 'address' | 'state'>;

/** All instances of a site; their ids have the form `<domain>-<kind><n>`. */
export interface SiteInstances {
  readonly entries: readonly SiteEntry[];
  readonly workers: ReadonlyArray<
    InstanceIdentity<platform.instanceList.ListedWorker>
  >;
  readonly upstreams: ReadonlyArray<
    InstanceIdentity<platform.instanceList.ListedUpstream>
  >;
}

/** Returns the instances of a site, with their ids. */
export function instancesOf(site: Site): SiteInstances {
  return {
    entries: site.failureDomains.flatMap(({name, entries}) =>
      oneTo(entries).map((n) => {
        const failureDomain = types.ids.brand<types.ids.FailureDomain>(name);
        return {id: `${name}-entry${n}`, failureDomain};
      }),
    ),
    workers: site.failureDomains.flatMap(({name, racks}) =>
      oneTo(racks).flatMap((rack) =>
        oneTo(site.workersPerRack).map((n) => ({
          kind: 'worker' as const,
          id: types.ids.brand<types.ids.WorkerId>(
            `${name}-rack${rack}-worker${n}`,
          ),
          failureDomain: types.ids.brand<types.ids.FailureDomain>(name),
          rack: types.ids.brand<types.ids.RackId>(`${name}-rack${rack}`),
          capacity: site.workerCapacity,
        })),
      ),
    ),
    upstreams: site.failureDomains.flatMap(({name, upstreams}) =>
      oneTo(upstreams).map((n) => ({
        kind: 'upstream' as const,
        id: types.ids.brand<types.ids.UpstreamId>(`${name}-upstream${n}`),
        failureDomain: types.ids.brand<types.ids.FailureDomain>(name),
        ...site.upstream,
      })),
    ),
  };
}

function oneTo(upTo: number): number[] {
  return Array.from({length: upTo}, (_, index) => index + 1);
}
