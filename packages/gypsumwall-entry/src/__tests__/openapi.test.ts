import * as assert from 'node:assert/strict';
import * as diagnosticsChannel from 'node:diagnostics_channel';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import type * as fastify from 'fastify';
import type * as entryContext from '../entry_context.js';
import * as httpServer from '../http_server.js';
import * as problem from '../problem.js';

const NEW_SERVER_CHANNEL = 'fastify.initialization';
const DOCS_URL = new URL('../../../../docs/', import.meta.url);

interface OpenApi {
  readonly paths: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
  readonly components: {
    readonly schemas: {
      readonly Problem: {
        readonly properties: {readonly reason: {enum: string[]}};
      };
    };
  };
}

function readDoc(name: string): string {
  return fs.readFileSync(new URL(name, DOCS_URL), 'utf8');
}

const openApi = JSON.parse(readDoc('openapi.json')) as OpenApi;

/** All reasons; the compiler reports one that is missing here. */
const REASONS: Readonly<Record<problem.ProblemReason, true>> = {
  overloaded: true,
  deadline_unreachable: true,
  deadline_passed: true,
  over_quota: true,
  no_upstream: true,
  log_unavailable: true,
  not_ready: true,
  leaving: true,
  key_in_use: true,
  can_never_run: true,
  invalid: true,
  cancelled: true,
  unauthenticated: true,
  forbidden: true,
  not_found: true,
  conflict: true,
  unknown_outcome: true,
};

/** `METHOD path` of each route, with parameters written as `{}`. */
function servedRoutes(): string[] {
  const routes: string[] = [];
  // Fastify publishes each new server on this channel before it has routes.
  const recordRoutes = (message: unknown) => {
    const {fastify: app} = message as {fastify: fastify.FastifyInstance};
    app.addHook('onRoute', ({method, path}) => {
      const plain = path.replace(/:[a-zA-Z]+|\*/g, '{}');
      routes.push(...[method].flat().map((name) => `${name} ${plain}`));
    });
  };
  diagnosticsChannel.subscribe(NEW_SERVER_CHANNEL, recordRoutes);
  // The routes are only added, not called, so an empty context is enough.
  httpServer.createHttpServer({} as entryContext.EntryContext);
  diagnosticsChannel.unsubscribe(NEW_SERVER_CHANNEL, recordRoutes);
  return routes.filter((route) => !route.startsWith('HEAD '));
}

nodeTest.test('docs/openapi.json has the routes that are served', () => {
  const documented = Object.entries(openApi.paths).flatMap(([path, methods]) =>
    Object.keys(methods).map(
      (method) =>
        `${method.toUpperCase()} ${path.replace(/\{[a-zA-Z]+\}/g, '{}')}`,
    ),
  );
  assert.deepEqual(servedRoutes().sort(), documented.sort());
});

nodeTest.test('docs/API.md and openapi.json list every reason', () => {
  const reasons = Object.keys(REASONS) as problem.ProblemReason[];
  const page = readDoc('API.md');
  for (const reason of reasons) {
    const {status} = problem.notRun(reason, '');
    assert.match(page, new RegExp(`\\| \`${reason}\` +\\| ${status} +\\|`));
  }
  const listed = openApi.components.schemas.Problem.properties.reason.enum;
  assert.deepEqual([...listed].sort(), reasons.sort());
});
