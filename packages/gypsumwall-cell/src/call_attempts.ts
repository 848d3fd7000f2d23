/**
 * The attempts to carry out one call of a caller: this entry's own append, and
 * the same call forwarded to peers. Several of them may be made for one call,
 * and each has an effect of its own.
 */

/** What an attempt has caused. */
export type AttemptEffect =
  | 'applied'
  /** Proven: it had no effect and will have none. */
  | 'not_applied'
  /** It may have been applied, or may be applied later. */
  | 'unknown';

/** The attempts of one call. */
export interface CallAttempts {
  /**
   * Makes an attempt. Its effect is unknown until it ends; `name` appears in
   * logs.
   */
  run<Outcome>(
    name: string,
    attempt: () => Promise<Outcome>,
    effectOf: (outcome: Outcome) => AttemptEffect,
  ): Promise<Outcome>;
  /** Effect of all attempts together; `not_applied` without any. */
  effect(): AttemptEffect;
  /** The attempts in order, such as `own:unknown,any_peer:not_applied`. */
  describe(): string;
}

/** Creates the list of attempts of a call that has just arrived. */
export function createCallAttempts(): CallAttempts {
  const attempts: {readonly name: string; effect: AttemptEffect}[] = [];
  return {
    async run(name, attempt, effectOf) {
      const entry = {name, effect: 'unknown' as AttemptEffect};
      attempts.push(entry);
      const outcome = await attempt();
      entry.effect = effectOf(outcome);
      return outcome;
    },
    effect: () =>
      attempts.reduce<AttemptEffect>(
        (joined, {effect}) => join(joined, effect),
        'not_applied',
      ),
    describe: () =>
      attempts.map(({name, effect}) => `${name}:${effect}`).join(','),
  };
}

/** Effect of two attempts of the same idempotent call. */
function join(left: AttemptEffect, right: AttemptEffect): AttemptEffect {
  if (left === 'applied' || right === 'applied') return 'applied';
  return left === 'unknown' ? left : right;
}
