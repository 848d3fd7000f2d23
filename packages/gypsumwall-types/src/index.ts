export * as clock from './clock.js';
export * as ids from './ids.js';
export * as job from './job.js';
export * as outcome from './outcome.js';
export * as random from './random.js';
export * as resources from './resources.js';
export * as stepError from './step_error.js';
export * as virtualClock from './virtual_clock.js';
