/** Answers the calls of other entries. */
import * as fastify from 'fastify';
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as peerProtocol from './peer_protocol.js';
import type * as ports from './ports.js';

/** Creates the server; it listens when it is told to. */
export function createPeerServer(
  adviser: ports.Adviser,
  logger: telemetry.logger.Logger,
): fastify.FastifyInstance {
  const server = fastify.fastify({logger: false});
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
  return server;
}
