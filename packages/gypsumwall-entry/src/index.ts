export * as authenticate from './authenticate.js';
export * as entry from './create_entry.js';
export * as problem from './problem.js';
