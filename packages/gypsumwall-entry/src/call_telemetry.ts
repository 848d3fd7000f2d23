/** Records a span, a counter and a log line for each call. */
import type * as fastify from 'fastify';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';

/** Options of `addCallTelemetry`. */
export interface CallTelemetryOptions {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly metrics: telemetry.metrics.Metrics;
  readonly tracer: telemetry.tracing.Tracer;
}

interface CallInProgress {
  readonly span: telemetry.tracing.Span;
  readonly arrivedAt: types.clock.MonotonicMs;
}

/** Health checks are so frequent that their records would bury all others. */
const UNRECORDED_ROUTES = new Set(['/healthz', '/readyz']);
const SERVER_ERROR_STATUS = 500;

/** Adds the hooks; they set the header `traceparent` to the call's own span. */
export function addCallTelemetry(
  app: fastify.FastifyInstance,
  options: CallTelemetryOptions,
): void {
  const {clock, logger, metrics, tracer} = options;
  const callsInProgress = new WeakMap<fastify.FastifyRequest, CallInProgress>();

  app.addHook('onRequest', (req, _res, done) => {
    const route = req.routeOptions.url ?? 'none';
    if (!UNRECORDED_ROUTES.has(route)) {
      const header = req.headers.traceparent;
      const parent = typeof header === 'string' ? header : undefined;
      const span = tracer.startSpan('entry.call', parent, {route});
      req.headers.traceparent = span.traceparent;
      callsInProgress.set(req, {span, arrivedAt: clock.monotonic()});
    }
    done();
  });

  app.addHook('onResponse', (req, res, done) => {
    const call = callsInProgress.get(req);
    if (call !== undefined) {
      const outcome = String(res.getHeader('gypsumwall-outcome') ?? 'none');
      const tookMs = clock.monotonic() - call.arrivedAt;
      const {operation} = (req.params ?? {}) as {operation?: string};
      if (operation !== undefined) {
        metrics.count('requests', {operation, outcome});
        metrics.observe('requestTime', tookMs, {operation, outcome});
      }
      logger.debug('call_answered', {
        step: 'http.call',
        peer: req.ip,
        method: req.method,
        route: req.routeOptions.url,
        status: res.statusCode,
        outcome,
        took_ms: Math.round(tookMs),
        trace: call.span.traceId,
      });
      call.span.setAttribute('status', res.statusCode);
      call.span.setAttribute('outcome', outcome);
      const isServerError = res.statusCode >= SERVER_ERROR_STATUS;
      call.span.end(isServerError ? `status ${res.statusCode}` : undefined);
    }
    done();
  });
}
