/** Creates the tracer and the metrics of an entry from its settings. */
import type * as settings from '@gypsumwall/settings';
import * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';

/** Creates a tracer; without a collector it only propagates contexts. */
export function makeTracer(
  cfg: settings.entrySettings.EntrySettings,
  self: types.ids.EntryId,
  logger: telemetry.logger.Logger,
): telemetry.tracing.Tracer {
  return telemetry.tracing.createTracer({
    instance: self,
    collectorUrl: cfg.tracesUrl,
    onError: (reason) => logger.warn('trace_export_failed', {reason}),
  });
}

/** Creates metrics that are sent to StatsD, or dropped if it is not set. */
export function makeMetrics(
  cfg: settings.entrySettings.EntrySettings,
  logger: telemetry.logger.Logger,
): telemetry.metrics.Metrics {
  if (cfg.statsd === undefined) return telemetry.metrics.createNoopMetrics();
  return telemetry.metrics.createMetrics({
    ...cfg.statsd,
    tags: {entry: cfg.id, failure_domain: cfg.failureDomain},
    onError: (err) => logger.warn('metrics_failed', {reason: err.message}),
  });
}
