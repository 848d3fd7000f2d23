/** Scripts that once found a fault, or that a removed safeguard fails. */
import type * as claimExploration from './claim_exploration.js';

/** A script and the fault it shows when the safeguard is gone. */
export interface NamedScript {
  readonly name: string;
  readonly script: claimExploration.Script;
}

/** Each must play without a violation. */
export const FIXED_SCRIPTS: readonly NamedScript[] = [
  {
    // The holder is cut off from the log. A named peer takes the claim over,
    // holds it, and ends. The old holder finds that peer's port closed and
    // must not count it as a peer that took nothing.
    name: 'a named peer that ended after it took the claim',
    script: {
      machines: 3,
      seed: 353131,
      steps: [
        {afterMs: 794, fault: {type: 'pause', machine: 1, forMs: 2309}},
        {afterMs: 255, fault: {type: 'answers_lost', forMs: 958}},
        {afterMs: 336, fault: {type: 'cut_from_log', machine: 0, forMs: 3163}},
        {
          afterMs: 858,
          fault: {type: 'cut_between', machine: 2, other: 0, forMs: 848},
        },
        {afterMs: 770, fault: {type: 'kill', machine: 2}},
      ],
    },
  },
];
