/** The cases and routers that the routing benchmark compares. */
import * as routing from '@gypsumwall/routing';
import type * as fakeUpstreams from './routing_fake_upstreams.js';
import * as routingRun from './routing_run.js';

/** A named router under comparison. */
export interface Contender {
  readonly name: string;
  readonly createRouter: routingRun.CreateRouter;
}

/**
 * A combination of load and fault, and the routers that are measured under it.
 */
export interface Case {
  readonly name: string;
  readonly load: number;
  readonly fault: fakeUpstreams.UpstreamFault;
  readonly cell: routingRun.RoutingCell;
  readonly floodFactor?: number;
  readonly contenders: readonly Contender[];
}

/** The production router. */
export const POLICY: Contender = {
  name: 'policy',
  createRouter: (options) => routing.createRouter.createRouter(options),
};
/** The naive baseline router. */
export const BASELINE: Contender = {
  name: 'baseline',
  createRouter: (options) =>
    routing.createBaselineRouter.createBaselineRouter(options),
};
const DRAW_VARIANTS: readonly Contender[] = [2, Infinity].map((drawn) => ({
  name: `policy, best of ${drawn === Infinity ? 'all' : drawn}`,
  createRouter: (options) =>
    routing.createRouter.createRouter(
      options,
      routing.chooseUpstream.createChooseUpstream(drawn),
    ),
}));

/** Increasing load without faults. */
export const LOAD_CASES: readonly Case[] = [0.7, 0.95, 2, 5].map((load) => ({
  name: `${load}x`,
  load,
  fault: 'none',
  cell: routingRun.ONE_ENTRY,
  contenders: [POLICY, BASELINE],
}));

/** Load of the cases with faults. */
export const FAULT_LOAD = 0.7;
/** Cases in which one upstream has a fault. */
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

/** A team sends eight times its usual number of requests. */
export const FLOOD_CASE: Case = {
  name: '0.7x, team floods 8x',
  load: 0.7,
  floodFactor: 8,
  fault: 'none',
  cell: routingRun.ONE_ENTRY,
  contenders: [POLICY, BASELINE],
};

/** Load at which the draw variants are compared with several entries. */
const DRAW_VARIANTS_LOAD = 0.7;
/** Size of a present-day service, with its present-day number of entries. */
const SIX_ENTRIES = {entries: 6, upstreams: 30, slots: 8};
/**
 * Several entries, which either share the upstream slots or ignore each other.
 */
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
