export * as logger from './logger.js';
