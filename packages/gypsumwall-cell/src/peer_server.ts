/** Answers the calls of other entries. */
import type * as stream from 'node:stream';
import type * as fastify from 'fastify';
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as channelForms from './channel_forms.js';
import type * as jobServiceTypes from './job_service_types.js';
import * as httpServer from './http_server.js';
import * as lineStream from './line_stream.js';
import * as peerProtocol from './peer_protocol.js';
import type * as ports from './ports.js';
import * as workerChannel from './worker_channel.js';
import * as workerChannelServer from './worker_channel_server.js';

/** What the server answers with. */
export interface PeerServerOptions {
  readonly adviser: ports.Adviser;
  readonly service: jobServiceTypes.JobService;
  /** Whether this entry is too busy to carry out the calls of others. */
  readonly isBusy: () => boolean;
  /** Opens the connections to a worker that is called for the holder. */
  readonly connect: workerChannelServer.Connect;
  /** See `WorkerChannelServerOptions`. */
  readonly findPayload: workerChannelServer.WorkerChannelServerOptions['findPayload'];
  /** Whether this process is shutting down. */
  readonly isLeaving: () => boolean;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Creates the server; the caller has to start listening. */
export function createPeerServer({
  adviser,
  service,
  isBusy,
  connect,
  findPayload,
  isLeaving,
  clock,
  logger,
}: PeerServerOptions): fastify.FastifyInstance {
  const server = httpServer.createHttpServer();
  // The body stays open, so it is read as a stream.
  server.addContentTypeParser(lineStream.LINES_TYPE, (_req, body, done) =>
    done(null, body),
  );
  server.post<{Body: stream.Readable}>(
    workerChannel.WORKER_CHANNEL_PATH,
    (req, res) => {
      const {mediaType, form} = channelForms.createPeerForm(req.headers.accept);
      res.hijack();
      // Each line is then written in one piece, without a frame around it; the
      // stream ends with its connection.
      res.raw.removeHeader('transfer-encoding');
      res.raw.writeHead(200, {'content-type': mediaType});
      res.raw.flushHeaders();
      workerChannelServer.serveWorkerChannel(req.body, res.raw, {
        form,
        connect,
        findPayload,
        isLeaving,
        clock,
        logger,
      });
    },
  );
  server.post<{Body: peerProtocol.AdviseReq}>(
    peerProtocol.ADVISE_PATH,
    async (req, res) => {
      const {stepRunId, workers, timeoutMs} = req.body;
      const answer = await adviser.ask(stepRunId, workers, timeoutMs);
      if (result.isErr(answer)) {
        const message = types.stepError.describeError(answer.error);
        logger.warn('advice_failed', {step: stepRunId, error: message});
        return res.code(503).send({message});
      }
      const body: peerProtocol.AdviseRes = {approved: [...answer.value]};
      return res.send(body);
    },
  );
  server.get(peerProtocol.PING_PATH, async (_req, res) => res.send({}));
  server.post<{Body: peerProtocol.RelayReq}>(
    peerProtocol.RELAY_PATH,
    async (req, res) =>
      res.send(isBusy() ? BUSY : await answerRelayed(service, req.body)),
  );
  return server;
}

/**
 * Refuses a forwarded call at once, since every other entry can carry it out as
 * well. A holder that queued them was late with its own work and was replaced.
 */
const BUSY: peerProtocol.RelayRes = {
  type: 'not_run',
  retryAfterMs: 1_000,
  isPeerBusy: true,
};

/** Answers from this entry's local job service, which never forwards a call. */
function answerRelayed(
  service: jobServiceTypes.JobService,
  req: peerProtocol.RelayReq,
): Promise<peerProtocol.RelayRes> {
  switch (req.type) {
    case 'submit':
      return service.submit(req.id, req.policy, req.request, req.caller);
    case 'cancel':
      return service.cancel(req.id, req.queue, req.caller);
    case 'phase':
      return service.isCurrent()
        ? service.phaseOf(req.id, req.queue, req.caller)
        : service.finalPhaseOf(req.id, req.queue, req.caller);
    case 'pending':
      return service.pendingIn(req.queue);
  }
}
