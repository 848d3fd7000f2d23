export * as configRecords from './config_records.js';
export * as domainRecords from './domain_records.js';
export * as requestRecords from './request_records.js';
