/** Decides whether the balancer may send calls to an entry. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';
import type * as entryStream from './entry_stream.js';

/** State that readiness depends on. */
export interface ReadinessInput {
  readonly isLeaving: boolean;
  readonly config: records.configFold.ConfigFold;
  readonly streams: readonly entryStream.EntryStream[];
  readonly view: membership.domainView.DomainView;
  /** Slots of all upstreams that this entry has a share of. */
  readonly ownSlots: number;
}

/** Returns why the entry isn't ready, or undefined if it is. */
export function notReadyReason(input: ReadinessInput): string | undefined {
  if (input.isLeaving) return 'this entry is leaving';
  if (input.config.cell() === undefined) {
    return 'no settings yet: neither the log nor a peer has supplied any';
  }
  const behind = input.streams.find((stream) => !stream.follower.isCaughtUp());
  if (behind !== undefined) {
    return `stream "${behind.name}" has not been read to its end yet`;
  }
  // An empty list has not been filled yet. An entry that reported ready with
  // it would receive calls that it can't serve.
  if (isEmpty(input.view)) return 'the instance list is still empty';
  if (input.view.upstreams.length === 0 || input.ownSlots > 0) return undefined;
  return "this entry has no share of any upstream's slots yet";
}

function isEmpty(view: membership.domainView.DomainView): boolean {
  return view.peers.length + view.workers.length + view.upstreams.length === 0;
}
