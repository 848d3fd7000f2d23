/** Passes the view and the teams' settings to the router of quick requests. */
import type * as membership from '@gypsumwall/membership';
import type * as routing from '@gypsumwall/routing';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';

/** Options of `createRouterFeed`. */
export interface RouterFeedOptions {
  readonly router: routing.router.Router;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of this entry's peer service, as the list gives it. */
  readonly address: string;
}

/** Callbacks for changes that the router depends on. */
export interface RouterFeed {
  onView(view: membership.domainView.DomainView): void;
  onTeams(teams: ReadonlyMap<string, settings.cellTree.TeamPolicy>): void;
  /** Total of this entry's shares in the slots of all upstreams. */
  ownSlots(): number;
}

/** Creates a feed; there are no slots before its first view. */
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
 * The entries that share the domain's upstreams, identified by their addresses
 * on the list. Process ids are not suitable: entries learn a peer's id at
 * different times, so they could name it differently and divide the slots
 * differently. An entry that isn't listed gets no share, because the others no
 * longer count it.
 */
function sharingEntries(
  {failureDomain, address}: RouterFeedOptions,
  view: membership.domainView.DomainView,
): string[] {
  const others = view.peers
    .filter((peer) => peer.failureDomain === failureDomain)
    .map((peer) => peer.address);
  return view.isSelfListed === true ? [address, ...others] : others;
}
