export * as emulatedCell from './rig/emulated_cell.js';
export * as emulatorConfig from './config/emulator_config.js';
export * as finding from './judge/finding.js';
export * as history from './model/history.js';
export * as judge from './judge/judge.js';
export * as jobCatalog from './model/job_catalog.js';
export * as platformModel from './model/platform_model.js';
