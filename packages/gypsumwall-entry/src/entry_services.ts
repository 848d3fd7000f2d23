/** Services that an entry offers its callers. */
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as routing from '@gypsumwall/routing';
import type * as types from '@gypsumwall/types';
import type * as domainHolder from './domain_holder.js';
import type * as entryStream from './entry_stream.js';
import * as jobService from './job_service.js';
import * as onceRequest from './once_request.js';
import * as settingsService from './settings_service.js';

/** Dependencies of the services. */
export interface EntryServicesOptions {
  readonly self: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  readonly clock: types.clock.Clock;
  readonly log: platform.platformLog.PlatformLog;
  readonly config: records.configFold.ConfigFold;
  readonly configStream: entryStream.EntryStream;
  readonly requests: records.requestFold.RequestFold;
  readonly requestStream: entryStream.EntryStream;
  readonly jobs: records.jobFold.JobFold;
  readonly domainStream: entryStream.EntryStream;
  readonly holder: domainHolder.DomainHolder;
  readonly router: routing.router.Router;
}

/** Services for jobs, keyed requests and settings. */
export interface EntryServices {
  readonly jobService: jobService.JobService;
  readonly runOnce: ReturnType<typeof onceRequest.createOnceRequest>;
  readonly settingsService: settingsService.SettingsService;
}

/** Creates the services. */
export function createEntryServices(
  options: EntryServicesOptions,
): EntryServices {
  const {self, clock, router} = options;
  const {configStream, requestStream, domainStream} = options;
  return {
    jobService: jobService.createJobService({
      self,
      failureDomain: options.failureDomain,
      clock,
      log: options.log,
      jobs: options.jobs,
      follower: domainStream.follower,
      appender: domainStream.appender,
      scheduler: () => options.holder.current(),
    }),
    runOnce: onceRequest.createOnceRequest({
      self,
      clock,
      requests: options.requests,
      follower: requestStream.follower,
      appender: requestStream.appender,
      router,
    }),
    settingsService: settingsService.createSettingsService({
      config: options.config,
      follower: configStream.follower,
      appender: configStream.appender,
    }),
  };
}
