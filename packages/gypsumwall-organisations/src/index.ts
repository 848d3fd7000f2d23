export * as apiKey from './api_key.js';
export * as arrivalMeter from './arrival_meter.js';
export * as keyDirectory from './key_directory.js';
export * as organisation from './organisation.js';
export * as quotaLedger from './quota_ledger.js';
