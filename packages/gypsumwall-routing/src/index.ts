export * as chooseUpstream from './choose_upstream.js';
export * as createBaselineRouter from './create_baseline_router.js';
export * as createRouter from './create_router.js';
export * as router from './router.js';
export * as routerOptions from './router_options.js';
export * as slotShares from './slot_shares.js';
