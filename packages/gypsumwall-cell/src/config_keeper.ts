/** Keeps the operator's newest configuration that an entry has read. */
import * as result from 'true-myth/result';
import * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as ports from './ports.js';

/** Options of a configuration keeper. */
export interface ConfigKeeperOptions {
  /**
   * Decodes a record of the configuration's log; undefined if the record is not
   * a cell configuration.
   */
  readonly decode: (
    key: string,
    value: string,
  ) => result.Result<ports.CellConfig | undefined, string>;
  readonly logger: telemetry.logger.Logger;
  /** Called when a newer configuration takes effect. */
  readonly onChanged: () => void;
}

/** The configuration of one entry. */
export interface ConfigKeeper {
  /** Applies a record; an older version is ignored. */
  apply(record: ports.KeyedRecord): void;
  /** Undefined until a configuration has been read. */
  config(): ports.CellConfig | undefined;
  /** Empty if the configuration has none; undefined until it has been read. */
  organisations(): organisations.organisation.Organisations | undefined;
  /** Identifies callers by the keys of the configuration. */
  readonly keys: organisations.keyDirectory.KeyDirectory;
  /** The policy of a queue; undefined if there is no such queue. */
  policyOf(queue: string): scheduling.jobRequest.QueuePolicy | undefined;
  /**
   * Whether tasks of any queue run in the pool; true for all pools until a
   * configuration has been read.
   */
  isUsedPool(pool: string): boolean;
}

/** Creates a keeper without a configuration. */
export function createConfigKeeper(options: ConfigKeeperOptions): ConfigKeeper {
  const {logger} = options;
  const keys = organisations.keyDirectory.createKeyDirectory();
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
      // A delayed read must never restore an older version.
      if (next === undefined || next.version <= (config?.version ?? -1)) return;
      config = next;
      keys.apply(next.version, next.organisations ?? new Map());
      logger.info('config_applied', {
        version: next.version,
        queues: next.queues.length,
        organisations: next.organisations?.size,
      });
      options.onChanged();
    },
    config: () => config,
    organisations: () => config && (config.organisations ?? new Map()),
    keys,
    policyOf: (queue) =>
      config?.queues.find((route) => route.policy.queue === queue)?.policy,
    isUsedPool: (pool) =>
      config === undefined ||
      config.queues.some((route) => route.policy.pool === pool),
  };
}
