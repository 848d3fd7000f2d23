/**
 * Name and version of the product. They are in code because the single binary
 * has no package.json; a test checks that they equal those in package.json.
 */
export const PRODUCT = {
  name: 'gypsumwall',
  version: '0.1.0',
  description: 'An open-source cluster scheduler for unlike workloads',
} as const;
