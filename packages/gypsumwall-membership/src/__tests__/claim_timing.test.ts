import * as nodeTest from 'node:test';
import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as types from '@gypsumwall/types';
import * as claimTiming from '../claim_timing.js';

/** The drift that docs/design/001-decisions.md promises to tolerate. */
const PROMISED_DRIFT = 1.01;

nodeTest.test('a holder ends first for all clocks within the drift', () => {
  // Holder and taker count the same duration on clocks with different rates,
  // and the taker doesn't begin before the holder. The holder must end first.
  const rate = fastCheck.double({
    min: 1,
    max: PROMISED_DRIFT,
    noNaN: true,
  });
  const duration = fastCheck.integer({min: 1, max: 3_600_000});
  fastCheck.assert(
    fastCheck.property(rate, duration, (clockRate, durationMs) => {
      const sentAt = 0 as types.clock.MonotonicMs;
      const holderEndsAt = claimTiming.holderDeadline(sentAt, durationMs);
      const takerStartsAt = durationMs / clockRate;
      assert.ok(holderEndsAt <= takerStartsAt);
    }),
    {seed: 20_261_202},
  );
});
