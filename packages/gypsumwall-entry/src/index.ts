export * as authenticate from './authenticate.js';
export * as domainScheduler from './domain_scheduler.js';
export * as entry from './create_entry.js';
export * as problem from './problem.js';
export * as recoveryGate from './recovery_gate.js';
export * as schedulerOptions from './scheduler_options.js';
export * as chooseHome from './choose_home.js';
