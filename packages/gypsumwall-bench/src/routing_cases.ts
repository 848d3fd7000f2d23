/** What the routing bench compares. */
import * as routing from '@gypsumwall/routing';
import type * as fakeUpstreams from './routing_fake_upstreams.js';
import * as routingRun from './routing_run.js';

/** A router with a name. */
export interface Contender {
  readonly name: string;
  readonly makeRouter: routingRun.MakeRouter;
}

/** One load with one fault, and who meets it. */
export interface Case {
  readonly name: string;
  readonly load: number;
  readonly fault: fakeUpstreams.UpstreamFault;
  readonly cell: routingRun.RoutingCell;
  readonly floodFactor?: number;
  readonly contenders: readonly Contender[];
}

/** The router of the product. */
export const POLICY: Contender = {
  name: 'policy',
  makeRouter: (options) => routing.createRouter.createRouter(options),
};
/** The naive router. */
export const BASELINE: Contender = {
  name: 'baseline',
  makeRouter: (options) =>
    routing.createBaselineRouter.createBaselineRouter(options),
};
const DRAW_VARIANTS: readonly Contender[] = [2, Infinity].map((drawn) => ({
  name: `policy, best of ${drawn === Infinity ? 'all' : drawn}`,
  makeRouter: (options) =>
    routing.createRouter.createRouter(
      options,
      routing.chooseUpstream.createChooseUpstream(drawn),
    ),
}));

/** Growing load without a fault. */
export const LOAD_CASES: readonly Case[] = [0.7, 0.95, 2, 5].map((load) => ({
  name: `${load}x`,
  load,
  fault: 'none',
  cell: routingRun.ONE_ENTRY,
  contenders: [POLICY, BASELINE],
}));

/** Load under which faults are met. */
export const FAULT_LOAD = 0.7;
/** One upstream with a fault. */
export const FAULT_CASES: readonly Case[] = (
  ['dead', 'slow', 'refusing', 'silent-connections'] as const
).map((fault) => ({
  name: fault,
  load: FAULT_LOAD,
  fault,
  cell: routingRun.ONE_ENTRY,
  contenders:
    fault === 'slow'
      ? [POLICY, ...DRAW_VARIANTS, BASELINE]
      : [POLICY, BASELINE],
}));

/** One team sends eight times what it usually does. */
export const FLOOD_CASE: Case = {
  name: '0.7x, team floods 8x',
  load: 0.7,
  floodFactor: 8,
  fault: 'none',
  cell: routingRun.ONE_ENTRY,
  contenders: [POLICY, BASELINE],
};

/** A service of today with the entries of today. */
const DRAW_VARIANTS_LOAD = 0.7;
const SIX_ENTRIES = {entries: 6, upstreams: 30, slots: 8};
/** Entries that share upstreams, or do not know of each other. */
export const SHARING_CASES: readonly Case[] = [0.7, 0.95].flatMap((load) => [
  {
    name: `6 entries, shares, ${load}x`,
    load,
    fault: 'none' as const,
    cell: SIX_ENTRIES,
    contenders:
      load === DRAW_VARIANTS_LOAD ? [POLICY, ...DRAW_VARIANTS] : [POLICY],
  },
  {
    name: `6 entries, no shares, ${load}x`,
    load,
    fault: 'none' as const,
    cell: {...SIX_ENTRIES, ignoresOtherEntries: true},
    contenders: [POLICY],
  },
]);
