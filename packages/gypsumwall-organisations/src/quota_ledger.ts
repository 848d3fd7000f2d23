/**
 * What the tasks of each organisation hold, and how much more of them may start
 * under its quota. Everything that may run counts: attempts whose start is not
 * answered or that are being stopped, and what an earlier scheduler may have
 * started.
 */
import * as types from '@gypsumwall/types';
import * as organisation from './organisation.js';

/** An organisation's quota and what its tasks hold. */
export interface QuotaUsage {
  readonly id: types.ids.OrganisationId;
  readonly quota: organisation.Quota;
  readonly allocated: types.resources.Resources;
}

/** The allocations of the organisations of a cell. */
export interface QuotaLedger {
  /**
   * Applies the organisations of a configuration. Until then no work of an
   * organisation may start; afterwards one that it does not contain is not
   * limited.
   */
  setOrganisations(organisations: organisation.Organisations): void;
  /** Counts an attempt; work without an organisation is not limited. */
  allocate(
    id: types.ids.OrganisationId | undefined,
    size: types.resources.Resources,
  ): void;
  release(
    id: types.ids.OrganisationId | undefined,
    size: types.resources.Resources,
  ): void;
  /**
   * Sets what attempts that are not found yet may hold, by organisation. It
   * counts in addition to the allocated amounts.
   */
  setUnaccounted(
    amounts: ReadonlyMap<types.ids.OrganisationId, types.resources.Resources>,
  ): void;
  /** How many tasks of a size may start now; Infinity without a limit. */
  startableTasks(
    id: types.ids.OrganisationId | undefined,
    size: types.resources.Resources,
  ): number;
  /** Whether as many tasks may ever run at the same time. */
  couldEverFit(
    id: types.ids.OrganisationId | undefined,
    size: types.resources.Resources,
    taskCount: number,
  ): boolean;
  /** The usage of every organisation of the configuration. */
  usage(): QuotaUsage[];
}

/** Creates a ledger without allocations and organisations. */
export function createQuotaLedger(): QuotaLedger {
  const allocated = new Map<
    types.ids.OrganisationId,
    types.resources.Resources
  >();
  let unaccounted: ReadonlyMap<
    types.ids.OrganisationId,
    types.resources.Resources
  > = new Map();
  let organisations: organisation.Organisations | undefined;

  function quotaOf(id: types.ids.OrganisationId): organisation.Quota {
    if (organisations === undefined) return types.resources.NO_RESOURCES;
    return organisations.get(id)?.quota ?? organisation.UNLIMITED;
  }
  const allocatedOf = (id: types.ids.OrganisationId) =>
    allocated.get(id) ?? types.resources.NO_RESOURCES;

  function usedBy(id: types.ids.OrganisationId): types.resources.Resources {
    const hidden = unaccounted.get(id);
    return hidden === undefined
      ? allocatedOf(id)
      : types.resources.add(allocatedOf(id), hidden);
  }

  return {
    setOrganisations(next) {
      organisations = next;
    },
    allocate(id, size) {
      if (id === undefined) return;
      allocated.set(id, types.resources.add(allocatedOf(id), size));
    },
    release(id, size) {
      if (id === undefined) return;
      allocated.set(id, types.resources.subtract(allocatedOf(id), size));
    },
    setUnaccounted(amounts) {
      unaccounted = amounts;
    },
    startableTasks(id, size) {
      if (id === undefined) return Infinity;
      const left = types.resources.subtract(quotaOf(id), usedBy(id));
      return types.resources.tasksThatFit(size, left);
    },
    couldEverFit(id, size, taskCount) {
      if (id === undefined) return true;
      return types.resources.tasksThatFit(size, quotaOf(id)) >= taskCount;
    },
    usage: () =>
      [...(organisations?.values() ?? [])].map(({id, quota}) => ({
        id,
        quota,
        allocated: allocatedOf(id),
      })),
  };
}
