/** Which configurations may be in force at a moment. */
import type * as history from '../model/history.js';
import type * as operator from '../model/operator.js';

/** Time within which a configuration takes effect at every entry. */
const CONFIG_APPLY_MS = 3_000;

/** A configuration and the time in which an entry may act by it. */
export interface ConfigSpan {
  readonly organisations: readonly operator.Organisation[];
  readonly queues: readonly history.QueueLimit[];
  readonly from: number;
  readonly until: number;
}

/** Returns the configurations of a history in order. */
export function listConfigs(
  events: readonly history.HistoryEvent[],
): ConfigSpan[] {
  const published = events.flatMap((event) =>
    event.type === 'config_published' ? [event] : [],
  );
  return published.map(({organisations, queues, at}, nth) => {
    const next = published[nth + 1]?.at ?? Infinity;
    return {organisations, queues, from: at, until: next + CONFIG_APPLY_MS};
  });
}

/** The configurations by which an entry may act at a moment. */
export function configsAt(
  configs: readonly ConfigSpan[],
  at: number,
): ConfigSpan[] {
  return configsBetween(configs, at, at);
}

/** The configurations by which an entry may act at any moment of a span. */
export function configsBetween(
  configs: readonly ConfigSpan[],
  start: number,
  end: number,
): ConfigSpan[] {
  return configs.filter(({from, until}) => from <= end && start <= until);
}
