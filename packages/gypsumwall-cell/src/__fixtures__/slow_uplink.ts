/** The link of one instance, which transfers one call after the other. */

/** A link that its calls share. */
export interface SlowUplink {
  /** Resolves once a call is transferred; false if it timed out before. */
  transfer(timeoutMs: number): Promise<boolean>;
}

/** Creates an idle link on which a call takes the given milliseconds. */
export function createSlowUplink(callMs: number): SlowUplink {
  let idleAt = 0;
  return {
    async transfer(timeoutMs) {
      const now = performance.now();
      idleAt = Math.max(now, idleAt) + callMs;
      const waitMs = Math.min(idleAt - now, timeoutMs);
      await new Promise((resolve) => setTimeout(resolve, waitMs));
      return waitMs < timeoutMs;
    },
  };
}
