/** Tells the router of quick requests what this entry believes and may do. */
import type * as membership from '@gypsumwall/membership';
import type * as routing from '@gypsumwall/routing';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';

/** Who is told, and of whom. */
export interface RouterFeedOptions {
  readonly router: routing.router.Router;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of this entry's peer service, as the list gives it. */
  readonly address: string;
}

/** The feed. */
export interface RouterFeed {
  onView(view: membership.domainView.DomainView): void;
  onTeams(teams: ReadonlyMap<string, settings.cellTree.TeamPolicy>): void;
  /** Slots of all upstreams that this entry has a share of by now. */
  ownSlots(): number;
}

/** Makes the feed; before its first view there are no slots. */
export function createRouterFeed(options: RouterFeedOptions): RouterFeed {
  const {router} = options;
  let slots = 0;
  return {
    ownSlots: () => slots,
    onView: (view) => {
      const entries = sharingEntries(options, view);
      router.setView({upstreams: view.upstreams, entries});
      slots = router
        .status()
        .upstreams.reduce((sum, upstream) => sum + upstream.share, 0);
    },
    onTeams: (teams) => {
      for (const [id, policy] of teams) {
        router.setTeam({
          id: types.ids.brand<types.ids.TeamId>(id),
          weight: policy.weight,
          maxQueuedRequests: policy.maxQueuedRequests,
          retryBudget: policy.retryBudget,
        });
      }
    },
  };
}

/**
 * The entries that share the domain's upstreams, by the addresses on the
 * list. Ids of processes are learned one by one: entries that call the same
 * one by different names would divide the slots differently. One that the
 * list does not show takes no share, since others stop counting it.
 */
function sharingEntries(
  {failureDomain, address}: RouterFeedOptions,
  view: membership.domainView.DomainView,
): string[] {
  const others = view.peers
    .filter((peer) => peer.failureDomain === failureDomain)
    .map((peer) => peer.address);
  return view.selfListed === true ? [address, ...others] : others;
}
