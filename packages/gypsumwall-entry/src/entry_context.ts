/** The parts of an entry that its HTTP routes use. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';
import type * as routing from '@gypsumwall/routing';
import type * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as authenticate from './authenticate.js';
import type * as domainScheduler from './domain_scheduler.js';
import type * as forwarder from './forwarder.js';
import type * as jobService from './job_service.js';
import type * as onceRequest from './once_request.js';
import type * as settingsService from './settings_service.js';

/** Dependencies of the routes. */
export interface EntryContext {
  readonly self: types.ids.EntryId;
  readonly settings: settings.entrySettings.EntrySettings;
  readonly failureDomain: types.ids.FailureDomain;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly metrics: telemetry.metrics.Metrics;
  readonly tracer: telemetry.tracing.Tracer;
  readonly authenticate: authenticate.Authenticate;
  readonly config: records.configFold.ConfigFold;
  readonly configFollower: records.streamFollower.StreamFollower;
  readonly domainFollower: records.streamFollower.StreamFollower;
  readonly requestFollower: records.streamFollower.StreamFollower;
  readonly view: () => membership.domainView.DomainView;
  readonly claim: () => membership.claimState.ClaimState;
  readonly scheduler: () => domainScheduler.DomainScheduler | undefined;
  readonly router: routing.router.Router;
  readonly jobService: jobService.JobService;
  readonly runOnce: ReturnType<typeof onceRequest.createOnceRequest>;
  readonly settingsService: settingsService.SettingsService;
  readonly sendToPeer: forwarder.SendToPeer;
  readonly forwardMark: forwarder.ForwardMark;
  /** Undefined when the entry is ready. */
  readonly notReadyReason: () => string | undefined;
  readonly isLeaving: () => boolean;
  /** Whether this entry has a share of any upstream's slots. */
  readonly hasSlots: () => boolean;
  /** Starts a planned stop and returns without waiting for it. */
  readonly startDrain: () => void;
}
