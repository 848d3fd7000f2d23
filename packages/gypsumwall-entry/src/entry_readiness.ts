/** Whether the balancer may send callers to an entry. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';
import type * as entryStream from './entry_stream.js';

/** What readiness is judged by. */
export interface ReadinessInput {
  readonly isLeaving: boolean;
  readonly config: records.configFold.ConfigFold;
  readonly streams: readonly entryStream.EntryStream[];
  readonly view: membership.domainView.DomainView;
  /** Slots of all upstreams that this entry has a share of. */
  readonly ownSlots: number;
}

/** Why not, for a person; undefined when it is ready. */
export function notReadyReason(input: ReadinessInput): string | undefined {
  if (input.isLeaving) return 'this entry is leaving';
  if (input.config.cell() === undefined) {
    return 'no settings yet: neither the log nor a peer has told any';
  }
  const behind = input.streams.find((stream) => !stream.follower.caughtUp());
  if (behind !== undefined) {
    return `stream "${behind.name}" is not read to its end yet`;
  }
  // An empty list is one that was not filled yet; to be ready on it would
  // bring callers to an entry that can serve nobody.
  if (isEmpty(input.view)) return 'the instance list shows nobody yet';
  if (input.view.upstreams.length === 0 || input.ownSlots > 0) return undefined;
  return "no share of an upstream's slots yet";
}

function isEmpty(view: membership.domainView.DomainView): boolean {
  return view.peers.length + view.workers.length + view.upstreams.length === 0;
}
