export * as child from './child.js';
export * as history from './history.js';
export * as historyEvent from './history_event.js';
export * as jsoncFile from './jsonc_file.js';
export * as machineClock from './machine_clock.js';
export * as standInConfig from './stand_in_config.js';
