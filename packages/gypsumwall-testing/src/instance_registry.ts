/**
 * The instances that actually run in a cell; the platform's list shows them
 * with a delay.
 */
import type * as platform from '@gypsumwall/platform';

/** The current instances of a cell, in the form of the platform's list. */
export interface InstanceRegistry {
  put(instance: platform.instanceList.ListedInstance): void;
  remove(id: string): void;
  setState(id: string, state: 'live' | 'leaving'): void;
  all(): readonly platform.instanceList.ListedInstance[];
  ofDomain(failureDomain: string): string[];
}

/** Creates an empty registry. */
export function createInstanceRegistry(): InstanceRegistry {
  const instances = new Map<string, platform.instanceList.ListedInstance>();
  return {
    put: (instance) => void instances.set(instance.id, instance),
    remove: (id) => void instances.delete(id),
    setState: (id, state) => {
      const known = instances.get(id);
      if (known === undefined) throw new Error(`no instance ${id}`);
      instances.set(id, {...known, state});
    },
    all: () => [...instances.values()],
    ofDomain: (failureDomain) =>
      [...instances.values()]
        .filter((instance) => instance.failureDomain === failureDomain)
        .map((instance) => instance.id),
  };
}
