/** HTTP server of the adviser. Each machine calls its own server. */
import * as zod from 'zod';
import type * as adviser from '../model/adviser.js';
import * as httpServer from './http_server.js';

const adviseBody = zod.object({
  phase: zod.string(),
  workers: zod.array(zod.string()),
});

/** Starts a server for the calls of one machine. */
export async function startAdviserServer(
  backend: adviser.Adviser,
  caller: string,
): Promise<httpServer.WireServer> {
  const server = httpServer.createServer();
  server.post('/v1/advise', async (req, res) => {
    const {phase, workers} = httpServer.readBody(req, adviseBody);
    const answer = await backend.ask(caller, phase, workers);
    switch (answer.type) {
      case 'approved':
        return res.send({approved: answer.tickets, validMs: answer.validMs});
      case 'throttled':
        return res.code(429).send({});
      case 'invalid':
        return res.code(400).send({message: answer.message});
    }
  });
  return httpServer.listen(server);
}
