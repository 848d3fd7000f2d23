/**
 * Name and version of the product. The single binary has no package.json
 * beside it, so they are kept in code; a test holds them to package.json.
 */
export const PRODUCT = {
  name: 'gypsumwall',
  version: '0.1.0',
  description: 'An open-source cluster scheduler for unlike workloads',
} as const;
