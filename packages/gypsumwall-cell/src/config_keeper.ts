/** Keeps the operator's newest configuration, as an entry has read it. */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as ports from './ports.js';

/** What a keeper is made with. */
export interface ConfigKeeperOptions {
  /** Reads a record of the configuration's log; undefined: of other use. */
  readonly decode: (
    key: string,
    value: string,
  ) => result.Result<ports.CellConfig | undefined, string>;
  readonly logger: telemetry.logger.Logger;
  /** A newer configuration is in force. */
  readonly onChanged: () => void;
}

/** The configuration of one entry. */
export interface ConfigKeeper {
  /** Folds a record; an older version changes nothing. */
  apply(record: ports.KeyedRecord): void;
  /** Undefined before the first. */
  config(): ports.CellConfig | undefined;
  /** What is set for a queue; undefined if there is no such queue. */
  policyOf(queue: string): scheduling.jobRequest.QueuePolicy | undefined;
  /** Whether any queue's tasks run in a pool; any may before the first. */
  isUsedPool(pool: string): boolean;
}

/** Creates a keeper without a configuration. */
export function createConfigKeeper(options: ConfigKeeperOptions): ConfigKeeper {
  const {logger} = options;
  let config: ports.CellConfig | undefined;

  return {
    apply(record) {
      const decoded = options.decode(record.key, record.value);
      if (result.isErr(decoded)) {
        const {key, offset} = record;
        logger.error('config_unreadable', {key, offset, error: decoded.error});
        return;
      }
      const next = decoded.value;
      // A late read must never bring an older version back.
      if (next === undefined || next.version <= (config?.version ?? -1)) return;
      config = next;
      logger.info('config_applied', {
        version: next.version,
        queues: next.queues.length,
      });
      options.onChanged();
    },
    config: () => config,
    policyOf: (queue) =>
      config?.queues.find((route) => route.policy.queue === queue)?.policy,
    isUsedPool: (pool) =>
      config === undefined ||
      config.queues.some((route) => route.policy.pool === pool),
  };
}
