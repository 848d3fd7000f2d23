export * as cellEntry from './cell_entry.js';
export * as cellEntryTypes from './cell_entry_types.js';
export * as jobService from './job_service.js';
export * as httpClient from './http_client.js';
export * as httpServer from './http_server.js';
export * as peerServer from './peer_server.js';
export * as ports from './ports.js';
export * as queueTable from './queue_table.js';
