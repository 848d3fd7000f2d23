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

/** Asks a route that hands on to one peer, whose answer has this effect. */
async function outcomeAfter(
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

nodeTest.test('after a lost answer of a peer nothing is not_run', async () => {
  // The caller is told unknown. The peer took its job and started it, the
  // peer's answer was lost, and this entry can't reach the log itself: its
  // own refusal says nothing of what the peer did.
  assert.equal((await outcomeAfter('unknown')).outcome, 'unknown');
});

nodeTest.test('a peer that never had the call leaves it not_run', async () => {
  assert.equal((await outcomeAfter('not_run')).outcome, 'not_run');
});
