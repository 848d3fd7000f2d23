/**
 * Scripts of faults that found a hole, or that find one as soon as a certain
 * safeguard is taken out. Each must play without a violation.
 */
import type * as claimExploration from './claim_exploration.js';
import type * as claimFaults from './claim_faults.js';
import * as claimWorld from './claim_world.js';

const {TTL_MS} = claimWorld;
/** Longer than any script. */
const PERMANENT_MS = 30 * TTL_MS;

/** A script and what it is about. */
export interface NamedScript {
  readonly name: string;
  readonly script: claimExploration.Script;
}

function step(
  afterMs: number,
  fault: claimFaults.Fault,
): claimExploration.Step {
  return {afterMs, fault};
}

const holderCutFromLog = step(0, {
  type: 'cut_from_log',
  machine: 'holder',
  forMs: PERMANENT_MS,
});

const spareRestarts = step(0, {type: 'restart', machine: 2});

/** The holder, alone and unlisted for a while; a newcomer can't reach it. */
function holderAlone(unlistedMs: number): claimExploration.Script {
  return {
    machines: 2,
    seed: 1,
    steps: [
      holderCutFromLog,
      step(0, {type: 'cut_from_list', machine: 'holder', forMs: unlistedMs}),
      step(0, {
        type: 'cut_between',
        machine: 'holder',
        other: 2,
        forMs: PERMANENT_MS,
      }),
      step(200, {type: 'kill', machine: 'named'}),
      spareRestarts,
    ],
  };
}

/** The scripts; the comment of each tells what would go wrong. */
export const FIXED_SCRIPTS: readonly NamedScript[] = [
  {
    // Found by exploration. A named peer takes the claim over, holds it, and
    // ends. The old holder, cut off from the log, finds that peer's port
    // closed and must not count it as one that took nothing.
    name: 'a named peer that ended after it took the claim',
    script: {
      machines: 3,
      seed: 353131,
      steps: [
        step(794, {type: 'pause', machine: 1, forMs: 2309}),
        step(255, {type: 'answers_lost', forMs: 958}),
        step(336, {type: 'cut_from_log', machine: 0, forMs: 3163}),
        step(858, {type: 'cut_between', machine: 2, other: 0, forMs: 848}),
        step(770, {type: 'kill', machine: 2}),
      ],
    },
  },
  {
    // The named peer promised, ended, and a new process answers in its place.
    // Its word that no promise is left must not count for a taker.
    name: 'a named peer replaced by a process that remembers nothing',
    script: {
      machines: 2,
      seed: 1,
      steps: [
        holderCutFromLog,
        spareRestarts,
        step(3 * TTL_MS, {type: 'restart', machine: 'named'}),
      ],
    },
  },
  {
    // The holder renewed by promises until it was killed. Its last starts are
    // still on their way when a taker finds its port closed.
    name: 'a holder that ended with starts on their way',
    script: {
      machines: 2,
      seed: 1,
      steps: [
        holderCutFromLog,
        step(3 * TTL_MS, {type: 'kill', machine: 'holder'}),
      ],
    },
  },
  {
    // No named peer lives, and nobody but the list tells the newcomer whether
    // the holder does. The holder must stop before the newcomer takes over.
    name: 'all named gone and the holder off the list',
    script: holderAlone(PERMANENT_MS),
  },
  {
    // As before, but the holder comes back on the list after the newcomer
    // took over; that proves nothing for the time between.
    name: 'all named gone and the holder back on the list',
    script: holderAlone(8 * TTL_MS),
  },
  {
    // A taker that isn't named has the named peer's release and its claim is
    // under way when the holder's pause ends. Peer and holder can't read the
    // log; the peer must refuse the holder's next ask.
    name: 'a promise asked after a release',
    script: {
      machines: 2,
      seed: 1,
      steps: [
        holderCutFromLog,
        step(0, {type: 'cut_from_log', machine: 'named', forMs: PERMANENT_MS}),
        spareRestarts,
        step(2 * TTL_MS, {
          type: 'pause',
          machine: 'holder',
          forMs: 1.1 * TTL_MS + 8,
        }),
      ],
    },
  },
  {
    // A renewal that names the newcomer too reaches the log, and the holder
    // is cut off before it reads it. The newcomer's promise is needed.
    name: 'a renewal with more names in doubt',
    script: {
      machines: 2,
      seed: 4,
      steps: [
        spareRestarts,
        step(200, {
          type: 'cut_from_log',
          machine: 'holder',
          forMs: PERMANENT_MS,
        }),
      ],
    },
  },
  {
    // A renewal that names the old peer takes effect after one that names the
    // new. If it counted, the old peer could take over unasked.
    name: 'a late renewal with other names',
    script: {
      machines: 2,
      seed: 3,
      steps: [
        step(21, {type: 'appends_late', forMs: 250}),
        step(250, {
          type: 'cut_between',
          machine: 0,
          other: 1,
          forMs: PERMANENT_MS,
        }),
        spareRestarts,
        step(515, {
          type: 'cut_from_log',
          machine: 'holder',
          forMs: PERMANENT_MS,
        }),
      ],
    },
  },
  {
    // The holder is paused between its release and reading it in the log.
    name: 'a holder paused right after its release',
    script: {
      machines: 2,
      seed: 16,
      steps: [
        step(0, {type: 'release', machine: 'holder'}),
        step(320, {type: 'pause', machine: 'holder', forMs: 3 * TTL_MS}),
      ],
    },
  },
  {
    // A taker last heard another process at the address where the holder now
    // is, cut off from it and the log. Not hearing must not count as proof.
    name: 'a holder at an address where another was heard',
    script: {
      machines: 3,
      seed: 1,
      steps: [
        step(0, {
          type: 'cut_between',
          machine: 0,
          other: 2,
          forMs: 3 * PERMANENT_MS,
        }),
        step(0, {type: 'cut_from_log', machine: 2, forMs: 8 * TTL_MS}),
        step(0, {type: 'restart', machine: 0}),
        step(2 * TTL_MS, {type: 'kill', machine: 1}),
        step(5 * TTL_MS, {
          type: 'cut_from_log',
          machine: 0,
          forMs: PERMANENT_MS,
        }),
      ],
    },
  },
];
