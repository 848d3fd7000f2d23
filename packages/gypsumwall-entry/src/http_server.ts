/** The HTTP server for callers; docs/API.md describes its interface. */
import * as fastify from 'fastify';
import * as types from '@gypsumwall/types';
import * as answerClientFault from './answer_client_fault.js';
import * as callTelemetry from './call_telemetry.js';
import type * as entryContext from './entry_context.js';
import * as jobRoutes from './job_routes.js';
import * as problem from './problem.js';
import * as requestRoutes from './request_routes.js';
import * as settingsRoutes from './settings_routes.js';
import * as statusRoutes from './status_routes.js';

const MAX_BODY_BYTES = 1024 * 1024;
/**
 * A caller is disconnected if it takes longer than this to send a whole
 * request, or longer than `HEADERS_TIMEOUT_MS` to send the headers.
 */
const REQUEST_TIMEOUT_MS = 10_000;
const HEADERS_TIMEOUT_MS = 5_000;
/** Interval of Node's check for slow callers; its default is 30 s. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Creates the server; it does not listen yet. */
export function createHttpServer(
  context: entryContext.EntryContext,
): fastify.FastifyInstance {
  const app = fastify.fastify({
    logger: false,
    bodyLimit: MAX_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    http: {
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    clientErrorHandler: answerClientFault.answerClientFault,
    forceCloseConnections: 'idle',
  });
  // Bodies are kept as bytes: requests are forwarded without being parsed, and
  // the job routes parse JSON themselves in order to report errors in it.
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) =>
    done(null, body),
  );
  app.setErrorHandler((err, _req, res) => {
    const status = statusOf(err);
    if (status >= 500) {
      const reason = types.stepError.messageOf(err);
      context.logger.error('call_failed', {step: 'http.call', reason});
    }
    const answer =
      status >= 500
        ? problem.unknownOutcome('internal error while serving the call')
        : problem.notRun('invalid', types.stepError.messageOf(err));
    return problem.send(res, {...answer, status});
  });
  app.setNotFoundHandler((req, res) =>
    problem.send(
      res,
      problem.notRun('not_found', `no route ${req.method} ${req.url}`),
    ),
  );
  callTelemetry.addCallTelemetry(app, context);
  requestRoutes.addRequestRoutes(app, context);
  jobRoutes.addJobRoutes(app, context);
  settingsRoutes.addSettingsRoutes(app, context);
  statusRoutes.addStatusRoutes(app, context);
  return app;
}

function statusOf(err: unknown): number {
  const status = (err as {statusCode?: unknown}).statusCode;
  return typeof status === 'number' ? status : 500;
}
