/** Reports the gauges of an entry at regular intervals. */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryContext from './entry_context.js';

const REPORT_INTERVAL_MS = 1_000;

/** Reports until the signal aborts. */
export async function reportGauges(
  context: entryContext.EntryContext,
  metrics: telemetry.metrics.Metrics,
  signal: AbortSignal,
): Promise<void> {
  const {clock} = context;
  while (!signal.aborted) {
    const next = types.clock.after(clock.monotonic(), REPORT_INTERVAL_MS);
    await clock.sleepUntil(next, signal);
    reportOnce(context, metrics);
  }
}

function reportOnce(
  context: entryContext.EntryContext,
  metrics: telemetry.metrics.Metrics,
): void {
  const view = context.view();
  const routed = context.router.status();
  const scheduled = context.scheduler()?.status();
  const share = routed.upstreams.reduce((sum, one) => sum + one.share, 0);
  const silent = view.peers.filter((peer) => peer.state === 'silent').length;
  metrics.gauge('requestsQueued', routed.queued);
  metrics.gauge('upstreamSlots', routed.inFlight, {state: 'used'});
  metrics.gauge('upstreamSlots', share, {state: 'share'});
  metrics.gauge('tasks', scheduled?.waitingTasks ?? 0, {state: 'queued'});
  metrics.gauge('tasks', scheduled?.activeTasks ?? 0, {state: 'running'});
  metrics.gauge('claimHeld', context.claim().type === 'held' ? 1 : 0);
  metrics.gauge('settingsOffset', context.configFollower.nextOffset());
  metrics.gauge('peers', silent, {state: 'silent'});
  metrics.gauge('peers', view.peers.length - silent, {state: 'heard'});
  if (view.listFetchedAt !== undefined) {
    const ageMs = context.clock.monotonic() - view.listFetchedAt;
    metrics.gauge('listAge', Math.round(ageMs));
  }
}
