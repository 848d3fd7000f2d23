/**
 * The attempts to carry out one call of a caller: in this entry's local job
 * service, and forwarded to peers. Several of them may be made for one call,
 * each with an effect of its own, and the caller's answer depends on all.
 */
import type * as jobServiceTypes from './job_service_types.js';
import type * as peerDirectory from './peer_directory.js';

/** What an attempt has caused. */
export type AttemptEffect =
  | 'applied'
  /** Proven: it had no effect and will have none. */
  | 'not_applied'
  /** It may have been applied, or may be applied later. */
  | 'unknown';

/** What is known of a call as a whole. */
export type CallStanding =
  /** It is in progress, or its caller was told that its effect is unknown. */
  | 'open'
  /** Its caller was told that it is applied. */
  | 'applied'
  /** It has no effect, beyond that of earlier calls. */
  | 'without_effect';

/** The answer to a call that changes something. */
export type CallAnswer = jobServiceTypes.JobServiceAnswer<undefined>;

/** The attempts of one call. The names of attempts appear in logs. */
export interface CallAttempts {
  /** Makes an attempt in the local job service. */
  runLocally(
    name: string,
    attempt: () => Promise<CallAnswer>,
  ): Promise<CallAnswer>;
  /** Makes an attempt at peers. */
  runAtPeers(
    name: string,
    attempt: () => Promise<peerDirectory.RelayOutcome>,
  ): Promise<peerDirectory.RelayOutcome>;
  /**
   * The answer to the caller. A refusal promises that the call has no effect,
   * so it stands only if that is proven for every attempt. `isStored` tells
   * whether the call is known to be applied by now, whoever did it.
   */
  conclude(answer: CallAnswer, isStored?: boolean): CallAnswer;
  standing(): CallStanding;
  /** The attempts in order, such as `own:unknown,any_peer:not_applied`. */
  describe(): string;
}

/** Other calls of the same kind for the same job. */
export interface EarlierCalls {
  /** Whether one of them was answered as applied. */
  isApplied(): boolean;
  /** Whether one of them is open. */
  mayBeApplied(): boolean;
}

/** Creates the list of attempts of a call that has just arrived. */
export function createCallAttempts(earlier: EarlierCalls): CallAttempts {
  const attempts: {readonly name: string; effect: AttemptEffect}[] = [];
  let standing: CallStanding = 'open';

  const mayHaveEffect = () =>
    attempts.some(({effect}) => effect !== 'not_applied');

  function answerFor(answer: CallAnswer, isStored: boolean): CallAnswer {
    switch (answer.type) {
      case 'ok':
      case 'absent':
        return answer;
      case 'not_run':
      case 'unknown':
        if (isStored || earlier.isApplied()) return APPLIED;
        break;
      case 'invalid':
        if (isStored) return APPLIED;
        break;
      // The caller's key may have been revoked.
      case 'outdated_caller':
        break;
    }
    const isProven = !mayHaveEffect() && !earlier.mayBeApplied();
    return isProven ? answer : {type: 'unknown'};
  }

  function standingAfter({type}: CallAnswer): CallStanding {
    if (type === 'ok') return 'applied';
    return type === 'unknown' && mayHaveEffect() ? 'open' : 'without_effect';
  }

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
    conclude(answer, isStored = false) {
      const concluded = answerFor(answer, isStored);
      standing = standingAfter(concluded);
      return concluded;
    },
    standing: () => standing,
    describe: () =>
      attempts.map(({name, effect}) => `${name}:${effect}`).join(','),
  };
}

const APPLIED = {type: 'ok', value: undefined} as const;

/** Whether an answer tells the caller that the call has no effect. */
export function isRefusal(
  answer: jobServiceTypes.JobServiceAnswer<unknown>,
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
  answer: jobServiceTypes.JobServiceAnswer<unknown>,
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
