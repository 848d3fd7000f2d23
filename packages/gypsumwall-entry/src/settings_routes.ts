/** Routes that let operators read and publish subtrees of the settings tree. */
import type * as fastify from 'fastify';
import * as records from '@gypsumwall/records';
import * as authenticate from './authenticate.js';
import * as callContext from './call_context.js';
import type * as entryContext from './entry_context.js';
import * as problem from './problem.js';

const DEFAULT_TIMEOUT_MS = 10_000;

interface PathParams {
  readonly '*': string;
}

type SettingsCall = fastify.FastifyRequest<{Params: PathParams}>;

/** Adds the settings routes. */
export function addSettingsRoutes(
  app: fastify.FastifyInstance,
  context: entryContext.EntryContext,
): void {
  app.get('/v1/settings', async (req, res) => {
    const operator = callContext.operatorOf(context, req);
    if (operator.isErr) return problem.send(res, operator.error);
    const subtrees = context.config.paths().map((path) => ({
      path,
      revision: context.config.subtree(path)?.revision,
    }));
    return res.send({subtrees});
  });
  app.get<{Params: PathParams}>('/v1/settings/*', (req, res) =>
    showSubtree(context, req, res),
  );
  app.put<{Params: PathParams}>('/v1/settings/*', (req, res) =>
    publishSubtree(context, req, res),
  );
}

async function showSubtree(
  context: entryContext.EntryContext,
  req: SettingsCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const operator = callContext.operatorOf(context, req);
  if (operator.isErr) return problem.send(res, operator.error);
  const path = req.params['*'];
  const subtree = context.config.subtree(path);
  if (subtree === undefined) {
    return problem.send(
      res,
      problem.notRun(
        'not_found',
        `no settings have been published at "${path}"`,
      ),
    );
  }
  return res.send({path, ...subtree});
}

async function publishSubtree(
  context: entryContext.EntryContext,
  req: SettingsCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const operator = callContext.operatorOf(context, req);
  if (operator.isErr) return problem.send(res, operator.error);
  const path = req.params['*'];
  if (!authenticate.mayPublish(operator.value, path)) {
    const detail =
      `operator "${operator.value.name}" may publish ` +
      `${operator.value.subtrees.join(', ')}, not "${path}"`;
    return problem.send(res, problem.notRun('forbidden', detail));
  }
  const base = readBaseRevision(req);
  if (base === undefined) {
    const detail =
      'send the header if-match with the revision that the change is based ' +
      `on, or ${records.configFold.NO_REVISION} for a new subtree`;
    return problem.send(res, problem.notRun('invalid', detail));
  }
  const value = callContext.readJson(req);
  const deadline = callContext.readDeadline(
    req,
    DEFAULT_TIMEOUT_MS,
    context.clock,
  );
  if (deadline.isErr) return problem.send(res, deadline.error);
  const published = await context.settingsService.publish(
    {path, base, value, operator: operator.value.name},
    deadline.value,
  );
  if (published.isErr) return problem.send(res, published.error);
  return res.send({path, revision: published.value});
}

function readBaseRevision(req: fastify.FastifyRequest): number | undefined {
  const text = callContext.headerOf(req, 'if-match')?.replaceAll('"', '');
  const base = Number(text);
  return text !== undefined && Number.isInteger(base) ? base : undefined;
}
