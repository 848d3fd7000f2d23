/** Rules on what the tasks of an organisation hold. */
import * as types from '@gypsumwall/types';
import type * as history from '../model/history.js';
import type * as operator from '../model/operator.js';
import * as configTimes from './config_times.js';
import type * as finding from './finding.js';
import * as organisationUsage from './organisation_usage.js';

/** Part of a quota by which it may be exceeded, besides one task. */
const ALLOWED_EXCESS = 0.1;

/**
 * Finds starts that bring what an organisation has running above the highest of
 * its quotas that may be in force.
 */
export function findExceededQuotas(
  events: readonly history.HistoryEvent[],
): finding.Finding[] {
  const configs = configTimes.listConfigs(events);
  return organisationUsage.listUsage(events).flatMap((usage) => {
    const {at, taskId, organisation, size, used} = usage;
    const isAllowed = configTimes
      .configsAt(configs, at)
      .map((config) => allowedBy(config.organisations, organisation, size))
      .some((quota) => types.resources.fits(used, quota));
    if (isAllowed) return [];
    return [
      {
        promise: 'organisations stay within their quotas' as const,
        detail: `${taskId} brings ${organisation} to ${used.cpuMillis} m and ${used.memoryMb} MB`,
      },
    ];
  });
}

function allowedBy(
  organisations: readonly operator.Organisation[],
  name: string,
  size: types.resources.Resources,
): types.resources.Resources {
  const quota = organisations.find((one) => one.name === name)?.quota;
  const limit = (amount: number | undefined, oneTask: number) =>
    amount === undefined || amount === 0
      ? Infinity
      : amount * (1 + ALLOWED_EXCESS) + oneTask;
  return {
    cpuMillis: limit(quota?.cpuMillis, size.cpuMillis),
    memoryMb: limit(quota?.memoryMb, size.memoryMb),
    accelerators: Infinity,
  };
}
