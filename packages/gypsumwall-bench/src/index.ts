export * as benchModule from './bench_module.js';
export * as benchModules from './bench_modules.js';
export * as formatTable from './format_table.js';
export * as renderReport from './render_report.js';
