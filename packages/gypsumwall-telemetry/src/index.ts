export * as boundedLineSink from './bounded_line_sink.js';
export * as logger from './logger.js';
export * as metricTable from './metric_table.js';
export * as metrics from './metrics.js';
export * as spanRecorder from './span_recorder.js';
export * as textMetrics from './text_metrics.js';
export * as tracing from './tracing.js';
