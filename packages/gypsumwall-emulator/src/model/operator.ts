/** The operator, which writes the configuration into the store. */
import type * as adviser from './adviser.js';
import type * as keyedLog from './keyed_log.js';

/** A queue of jobs. */
export interface QueuePolicy {
  readonly name: string;
  /** Host name by which callers address the queue. */
  readonly host: string;
  readonly pathPrefix: string;
  /** The pool whose workers run its tasks. */
  readonly pool: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly slackFactor: number;
  readonly targetMs: number;
  /** Absent if the queue needs no advice. */
  readonly advice?: adviser.AdvicePolicy | undefined;
}

/** A customer of the system. */
export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Jobs a second that it is entitled to in a full cell. */
  readonly weight: number;
  /** What its tasks may hold at a time; 0 is no limit. */
  readonly quota: {readonly cpuMillis: number; readonly memoryMb: number};
}

/** The whole configuration. */
export interface OperatorConfig {
  readonly queues: readonly QueuePolicy[];
  /** Empty if callers need no keys. */
  readonly organisations: readonly Organisation[];
  readonly pools: readonly {
    readonly name: string;
    readonly refusesExcess: boolean;
  }[];
}

/** Publishes configurations. */
export interface Operator {
  /** Publishes a configuration and returns its version. */
  publish(config: OperatorConfig): number;
}

const CONFIG_KEY = 'config';

/** Creates an operator that has published nothing yet. */
export function createOperator(
  log: keyedLog.KeyedLog,
  encodeConfig: (version: number, config: OperatorConfig) => string,
): Operator {
  let version = 0;
  return {
    publish(config) {
      version += 1;
      log.append([{key: CONFIG_KEY, value: encodeConfig(version, config)}], {});
      return version;
    },
  };
}
