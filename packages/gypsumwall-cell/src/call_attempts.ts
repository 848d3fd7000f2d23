/**
 * The attempts to carry out one call of a caller: in this entry's local job
 * service, and forwarded to peers. Several of them may be made for one call,
 * each with an effect of its own, and the caller's answer depends on all.
 */
import type * as jobService from './job_service.js';
import type * as peerDirectory from './peer_directory.js';

/** What an attempt has caused. */
export type AttemptEffect =
  | 'applied'
  /** Proven: it had no effect and will have none. */
  | 'not_applied'
  /** It may have been applied, or may be applied later. */
  | 'unknown';

/** The attempts of one call. The names of attempts appear in logs. */
export interface CallAttempts {
  /** Makes an attempt in the local job service. */
  runLocally<Value>(
    name: string,
    attempt: () => Promise<jobService.JobServiceAnswer<Value>>,
  ): Promise<jobService.JobServiceAnswer<Value>>;
  /** Makes an attempt at peers. */
  runAtPeers(
    name: string,
    attempt: () => Promise<peerDirectory.RelayOutcome>,
  ): Promise<peerDirectory.RelayOutcome>;
  /**
   * The answer to the caller. A refusal promises that the call has no effect,
   * so it stands only if that is proven for every attempt.
   */
  conclude<Value>(
    answer: jobService.JobServiceAnswer<Value>,
  ): jobService.JobServiceAnswer<Value>;
  /**
   * Whether the call may be applied without its caller knowing: it is in
   * progress, or its answer was that the outcome is unknown.
   */
  isOpen(): boolean;
  /** The attempts in order, such as `own:unknown,any_peer:not_applied`. */
  describe(): string;
}

/**
 * Creates the list of attempts of a call that has just arrived. Earlier calls
 * of the same kind for the same job count for its answer, too.
 */
export function createCallAttempts(
  earlier: readonly CallAttempts[] = [],
): CallAttempts {
  const attempts: {readonly name: string; effect: AttemptEffect}[] = [];
  let isOpen = true;

  const isUnproven = () =>
    attempts.some(({effect}) => effect !== 'not_applied');

  async function run<Outcome>(
    name: string,
    attempt: () => Promise<Outcome>,
    effectOf: (outcome: Outcome) => AttemptEffect,
  ): Promise<Outcome> {
    const entry = {name, effect: 'unknown' as AttemptEffect};
    attempts.push(entry);
    const outcome = await attempt();
    entry.effect = effectOf(outcome);
    return outcome;
  }

  return {
    runLocally: (name, attempt) => run(name, attempt, effectOfAnswer),
    runAtPeers: (name, attempt) => run(name, attempt, effectOfRelay),
    conclude(answer) {
      const isProven = !isUnproven() && !earlier.some((call) => call.isOpen());
      const concluded: typeof answer =
        isRefusal(answer) && !isProven ? {type: 'unknown'} : answer;
      isOpen = concluded.type === 'unknown' && isUnproven();
      return concluded;
    },
    isOpen: () => isOpen,
    describe: () =>
      attempts.map(({name, effect}) => `${name}:${effect}`).join(','),
  };
}

/** Whether an answer tells the caller that the call has no effect. */
export function isRefusal(
  answer: jobService.JobServiceAnswer<unknown>,
): boolean {
  switch (answer.type) {
    case 'not_run':
    case 'invalid':
    case 'outdated_caller':
      return true;
    case 'ok':
    case 'absent':
    case 'unknown':
      return false;
  }
}

function effectOfAnswer(
  answer: jobService.JobServiceAnswer<unknown>,
): AttemptEffect {
  switch (answer.type) {
    case 'ok':
      return 'applied';
    case 'unknown':
      return 'unknown';
    case 'not_run':
    case 'absent':
    case 'invalid':
    case 'outdated_caller':
      return 'not_applied';
  }
}

/** Effect at all peers that received the call. */
function effectOfRelay(outcome: peerDirectory.RelayOutcome): AttemptEffect {
  const known =
    outcome.type === 'answered' ? effectOfAnswer(outcome.res) : 'not_applied';
  return known === 'not_applied' && outcome.maybeApplied ? 'unknown' : known;
}
