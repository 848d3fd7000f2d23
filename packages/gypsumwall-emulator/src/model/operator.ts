/** The operator: it writes the configuration into the store. */
import type * as adviser from './adviser.js';
import type * as keyedLog from './keyed_log.js';

/** A queue of jobs. */
export interface QueuePolicy {
  readonly name: string;
  /** Callers name it so. */
  readonly host: string;
  readonly pathPrefix: string;
  /** The workers that run its tasks. */
  readonly pool: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly slackFactor: number;
  readonly targetMs: number;
  /** Absent where the queue needs no advice. */
  readonly advice?: adviser.AdvicePolicy | undefined;
}

/** The whole configuration. */
export interface OperatorConfig {
  readonly queues: readonly QueuePolicy[];
  readonly pools: readonly {
    readonly name: string;
    readonly refusesExcess: boolean;
  }[];
}

/** The operator. */
export interface Operator {
  /** Puts a configuration in force and returns its version. */
  publish(config: OperatorConfig): number;
}

const CONFIG_KEY = 'config';

/** Creates an operator that has published nothing. */
export function createOperator(
  log: keyedLog.KeyedLog,
  encode: (version: number, config: OperatorConfig) => string,
): Operator {
  let version = 0;
  return {
    publish(config) {
      version += 1;
      log.append([{key: CONFIG_KEY, value: encode(version, config)}], {});
      return version;
    },
  };
}
