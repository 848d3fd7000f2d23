export * as router from './router.js';
