export * as cellTree from './cell_tree.js';
export * as entrySettings from './entry_settings.js';
