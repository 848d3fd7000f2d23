/** Finds the queue of a call by its host and path. */
import type * as ports from './ports.js';

/** A queue and the rest of the path after its prefix. */
export interface QueueMatch {
  readonly route: ports.QueueRoute;
  readonly rest: string;
}

/** The queue with the longest matching prefix of the path, or undefined. */
export function findQueue(
  queues: readonly ports.QueueRoute[],
  host: string,
  path: string,
): QueueMatch | undefined {
  let best: ports.QueueRoute | undefined;
  for (const route of queues) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
    const longer =
      best === undefined || route.pathPrefix.length > best.pathPrefix.length;
    if (longer) best = route;
  }
  if (best === undefined) return undefined;
  return {route: best, rest: path.slice(best.pathPrefix.length)};
}
