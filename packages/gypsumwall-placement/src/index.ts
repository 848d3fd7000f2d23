export * as placer from './placer.js';
