/** An organisation: the customer that owns jobs, as the operator configures it. */
import type * as types from '@gypsumwall/types';
import type * as apiKey from './api_key.js';

/** Maximum amounts that tasks of an organisation may hold at a time. */
export type Quota = types.resources.Resources;

/** The quota of an organisation that is not limited. */
export const UNLIMITED: Quota = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};

/** An organisation. */
export interface Organisation {
  readonly id: types.ids.OrganisationId;
  readonly keyHashes: readonly apiKey.KeyHash[];
  /**
   * Jobs a second that the organisation is entitled to while the cell is full;
   * unlimited if absent.
   */
  readonly weight?: number;
  readonly quota: Quota;
}

/** The organisations of a configuration. */
export type Organisations = ReadonlyMap<types.ids.OrganisationId, Organisation>;
