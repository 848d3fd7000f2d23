/** Encodes the configuration as it is stored. */
import type * as operator from '../model/operator.js';

const ROUTE_TIMEOUT_MS = 3_000;
const MAX_CONNECTIONS = 64;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 262_144,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Encodes a version of the configuration. */
export function encodeConfig(
  version: number,
  config: operator.OperatorConfig,
): string {
  return JSON.stringify({
    version,
    routes: config.queues.map(encodeQueue),
    services: config.pools.map(({name, refusesExcess}) => ({
      name,
      healthPath: '/healthz',
      maxConns: MAX_CONNECTIONS,
      protocol: 'h1',
      tls: false,
      enforceCapacity: refusesExcess,
      standby: false,
    })),
    limits: LIMITS,
    tenants:
      config.organisations.length === 0
        ? undefined
        : config.organisations.map(encodeOrganisation),
  });
}

function encodeOrganisation({
  name,
  keys,
  weight,
  quota,
}: operator.Organisation) {
  const cap = {cpu: quota.cpuMillis, memMb: quota.memoryMb, gpu: 0};
  return {name, apiKeys: keys, priority: 1, weight, cap};
}

function encodeQueue(queue: operator.QueuePolicy) {
  const {advice} = queue;
  return {
    name: queue.name,
    host: queue.host,
    pathPrefix: queue.pathPrefix,
    kind: 'unsafe',
    timeoutMs: ROUTE_TIMEOUT_MS,
    targetLatencyMs: queue.targetMs,
    priority: queue.priority,
    service: queue.pool,
    maxAttempts: queue.maxAttempts,
    slackFactor: queue.slackFactor,
    placementAdvisor: advice && {
      decideMs: advice.callMs,
      periodMs: advice.perWorkerMs,
      validMs: advice.validMs,
    },
  };
}
