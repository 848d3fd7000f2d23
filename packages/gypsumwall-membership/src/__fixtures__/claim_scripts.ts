/**
 * Scripts of faults that found a defect, or that find one when a certain
 * safeguard is removed. Each must run without a violation.
 */
import type * as claimExploration from './claim_exploration.js';
import type * as claimFaults from './claim_faults.js';
import * as claimWorld from './claim_world.js';

const {TTL_MS} = claimWorld;
/** Longer than any script runs. */
const PERMANENT_MS = 30 * TTL_MS;

/** A script and the situation that it tests. */
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

const newEntryJoins = step(0, {type: 'restart', machine: 2});

/** The holder is alone and unlisted for a time; a new entry can't reach it. */
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
      newEntryJoins,
    ],
  };
}

/** The scripts; each comment describes the failure that it guards against. */
export const FIXED_SCRIPTS: readonly NamedScript[] = [
  {
    // Found by exploration. A named peer takes over the claim and ends. The old
    // holder, cut off from the log, finds that peer's port closed. It must not
    // take this as proof that the peer never held the claim.
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
    // The named peer promises and ends, and a new process answers at its
    // address. A release by the new process must not count for a taker.
    name: 'a named peer replaced by a process without state',
    script: {
      machines: 2,
      seed: 1,
      steps: [
        holderCutFromLog,
        newEntryJoins,
        step(3 * TTL_MS, {type: 'restart', machine: 'named'}),
      ],
    },
  },
  {
    // The holder renews by promises until it is killed. Its last starts are
    // still in flight when a taker finds its port closed.
    name: 'a holder that ended with starts in flight',
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
    // No named peer is alive, and only the list shows the new entry whether the
    // holder is. The holder must stop before the new entry takes over.
    name: 'all named peers ended and the holder off the list',
    script: holderAlone(PERMANENT_MS),
  },
  {
    // As before, but the holder returns to the list after the new entry took
    // over; that proves nothing about the time between.
    name: 'all named peers ended and the holder back on the list',
    script: holderAlone(8 * TTL_MS),
  },
  {
    // A taker that isn't named has got the named peer's release, and its claim
    // is in flight when the holder's pause ends. Peer and holder can't read the
    // log, so the peer must refuse the holder's next promise request.
    name: 'a promise requested after a release',
    script: {
      machines: 2,
      seed: 1,
      steps: [
        holderCutFromLog,
        step(0, {type: 'cut_from_log', machine: 'named', forMs: PERMANENT_MS}),
        newEntryJoins,
        step(2 * TTL_MS, {
          type: 'pause',
          machine: 'holder',
          forMs: 1.1 * TTL_MS + 8,
        }),
      ],
    },
  },
  {
    // A renewal that also names the new entry reaches the log, and the holder is
    // cut off before it reads it. It needs the new entry's promise too.
    name: 'an unconfirmed renewal that names more peers',
    script: {
      machines: 2,
      seed: 4,
      steps: [
        newEntryJoins,
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
    // new peer. If it were valid, the old peer could take over although the
    // holder has not requested its promise.
    name: 'a late renewal that names other peers',
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
        newEntryJoins,
        step(515, {
          type: 'cut_from_log',
          machine: 'holder',
          forMs: PERMANENT_MS,
        }),
      ],
    },
  },
  {
    // The holder is paused after its release, before it reads it in the log.
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
    // At the holder's address the taker last got an answer from another process.
    // The taker is cut off from that address and from the log. A missing answer
    // must not count as proof that the holder ended.
    name: 'a holder at the former address of another process',
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
