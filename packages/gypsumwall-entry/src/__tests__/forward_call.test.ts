import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastify from 'fastify';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryContext from '../entry_context.js';
import * as forwardCall from '../forward_call.js';
import * as forwarder from '../forwarder.js';
import * as problem from '../problem.js';

/** Calls a route that forwards to one peer, which fails with this effect. */
async function outcomeAfterFailure(
  effect: types.stepError.Effect,
): Promise<{outcome: string}> {
  const context = {
    self: 'near',
    forwardMark: forwarder.createForwardMark(),
    logger: telemetry.logger.createLogger('silent'),
    sendToPeer: () =>
      Promise.resolve(
        result.err({
          kind: 'timeout',
          step: 'peer.forward',
          peer: 'far',
          effect,
          message: 'no answer',
        }),
      ),
  } as unknown as entryContext.EntryContext;
  const app = fastify.fastify();
  app.post('/', async (req, res) => {
    const handed = await forwardCall.forwardCall(context, req, res, {
      peers: ['far'],
      deadline: 1 as types.clock.MonotonicMs,
      idempotent: true,
    });
    const refusal = problem.notRun('log_unavailable', 'the log is down');
    return forwardCall.sendForwardFailure(handed, res, refusal);
  });
  const res = await app.inject({method: 'POST', url: '/'});
  await app.close();
  return res.json();
}

nodeTest.test("the outcome after a peer's lost answer is unknown", async () => {
  // The peer has accepted and started the job, but its answer was lost. This
  // entry can't reach the log and refuses the call itself, but it must not
  // report `not_run`, because the job may run at the peer.
  assert.equal((await outcomeAfterFailure('unknown')).outcome, 'unknown');
});

nodeTest.test('a call that never reached the peer is not_run', async () => {
  assert.equal((await outcomeAfterFailure('not_run')).outcome, 'not_run');
});
