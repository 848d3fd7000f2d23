/**
 * A router with fake upstreams and a manual clock, which has joined already.
 */
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as createRouter from '../create_router.js';
import type * as router from '../router.js';
import type * as routerOptions from '../router_options.js';
import * as fakeUpstreams from './fake_upstreams.js';
import * as manualClock from './manual_clock.js';

/** The router and the fakes that a test uses. */
export interface RouterHarness {
  readonly clock: manualClock.ManualClock;
  readonly fakes: fakeUpstreams.FakeUpstreams;
  readonly router: router.Router;
  readonly view: router.RouterView;
  makeRequest(fields?: Partial<router.RoutedRequest>): router.RoutedRequest;
  /** Routes a request and reads its answer to the end. */
  send(fields?: Partial<router.RoutedRequest>): Promise<types.outcome.Outcome>;
}

/**
 * The list lag and the request bound, small enough that tests can wait for
 * them.
 */
export const LIST_LAG_MS = 100;
const REQUEST_BOUND_MS = 1_000;
const SEED = 7;

/**
 * Creates a router that is the only entry, with the upstreams `u0`, `u1` and so
 * on.
 */
export async function createRouterHarness(
  upstreams: number,
  slots: number,
  overrides: Partial<routerOptions.RouterOptions> = {},
): Promise<RouterHarness> {
  const clock = manualClock.createManualClock();
  const fakes = fakeUpstreams.createFakeUpstreams();
  const options: routerOptions.RouterOptions = {
    entryId: 'e0',
    clock,
    random: types.random.createRandom(SEED),
    logger: telemetry.logger.createLogger('silent'),
    listLagMs: LIST_LAG_MS,
    requestBoundMs: REQUEST_BOUND_MS,
    makeUpstream: (upstream, count) => fakes.make(upstream, count),
    defaults: {weight: 1, maxQueuedRequests: 10, retryBudget: 0.1},
    ...overrides,
  };
  const createdRouter = createRouter.createRouter(options);
  const listed = Array.from({length: upstreams}, (_, index) =>
    fakeUpstreams.makeListed(`u${index}`, slots),
  );
  const view = {upstreams: listed, entries: ['e0']};
  const {listLagMs, requestBoundMs = REQUEST_BOUND_MS} = options;
  const joinedAt = 2 * listLagMs + requestBoundMs;
  createdRouter.setView(view);
  while (clock.monotonic() < joinedAt) {
    await clock.advance(listLagMs);
    createdRouter.setView(view);
  }
  let requests = 0;
  const makeRequest: RouterHarness['makeRequest'] = (fields) => ({
    requestId: `r${(requests += 1)}`,
    team: types.ids.brand<types.ids.TeamId>('skyroute'),
    operation: 'airspace-check',
    urgency: 'urgent',
    idempotent: true,
    estimateMs: 10,
    body: new Uint8Array(),
    deadline: types.clock.after(clock.monotonic(), 500),
    ...fields,
  });
  const send: RouterHarness['send'] = async (fields) => {
    const routed = await createdRouter.route(makeRequest(fields));
    if (routed.isErr) return routed.error;
    routed.value.body.resume();
    return {type: 'done'};
  };
  return {clock, fakes, router: createdRouter, view, makeRequest, send};
}
