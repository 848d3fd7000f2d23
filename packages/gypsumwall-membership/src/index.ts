export * as domainClaim from './domain_claim.js';
export * as domainView from './domain_view.js';
