/**
 * Counters and latency histograms of one process in the text format of
 * Prometheus. They are derived from log events: each event is counted by its
 * name and outcome, even if its line is dropped, and the `tookMs` field of an
 * event is added to a histogram.
 */
import * as types from '@gypsumwall/types';
import type * as hdr from 'hdr-histogram-js';
// Imported directly because the index of the package also loads log writers,
// formatters and compression.
import * as histogramFactory from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import type * as logger from './logger.js';

/** Metrics of one process. */
export interface TextMetrics {
  /** Returns a logger that counts its events and passes them to `target`. */
  wrapLogger(target: logger.Logger): logger.Logger;
  /** Formats the metrics and the given gauges in the format of Prometheus. */
  render(gauges: Readonly<Record<string, number>>): string;
}

const Histogram = histogramFactory.constructorFromBucketSize(32);
const MIN_LATENCY_MS = 1;
const SIGNIFICANT_DIGITS = 2;
/** Longer latencies are recorded as this value; milliseconds. */
const MAX_LATENCY_MS = 120_000;
const QUANTILES = [0.5, 0.95, 0.99];
const NAME_PREFIX = 'gypsumwall';

/** Creates metrics without any events. */
export function createTextMetrics(): TextMetrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, hdr.Histogram>();

  function recordEvent(event: string, fields: logger.LogFields = {}): void {
    const outcome = String(fields.outcome ?? '').slice(0, 40);
    const key = `event="${event}",outcome="${outcome.replace(/["\\\n]/g, '_')}"`;
    counters.set(key, (counters.get(key) ?? 0) + 1);
    if (typeof fields.tookMs === 'number') recordLatency(event, fields.tookMs);
  }

  function recordLatency(event: string, ms: number): void {
    let histogram = histograms.get(event);
    if (histogram === undefined) {
      histogram = new Histogram(
        MIN_LATENCY_MS,
        MAX_LATENCY_MS,
        SIGNIFICANT_DIGITS,
      );
      histograms.set(event, histogram);
    }
    histogram.recordValue(
      Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(ms))),
    );
  }

  function wrapLogger(target: logger.Logger): logger.Logger {
    return {
      debug: (event, fields) => {
        recordEvent(event, fields);
        target.debug(event, fields);
      },
      info: (event, fields) => {
        recordEvent(event, fields);
        target.info(event, fields);
      },
      warn: (event, fields) => {
        recordEvent(event, fields);
        target.warn(event, fields);
      },
      error: (event, fields) => {
        recordEvent(event, fields);
        target.error(event, fields);
      },
      with: (fields) => wrapLogger(target.with(fields)),
    };
  }

  function formatLatency(event: string, histogram: hdr.Histogram): string[] {
    const name = `${NAME_PREFIX}_latency_ms`;
    const lines = QUANTILES.map((quantile) => {
      const value = histogram.getValueAtPercentile(quantile * 100);
      return `${name}{event="${event}",quantile="${quantile}"} ${value}`;
    });
    lines.push(`${name}_count{event="${event}"} ${histogram.totalCount}`);
    return lines;
  }

  return {
    wrapLogger,
    render(gauges) {
      const lines: string[] = [];
      for (const [key, count] of counters) {
        lines.push(`${NAME_PREFIX}_events_total{${key}} ${count}`);
      }
      for (const [event, histogram] of histograms) {
        types.lists.append(lines, formatLatency(event, histogram));
      }
      for (const [name, value] of Object.entries(gauges)) {
        lines.push(`${NAME_PREFIX}_${name} ${value}`);
      }
      return lines.join('\n') + '\n';
    },
  };
}
