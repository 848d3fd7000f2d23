/** Publishes subtrees of the settings tree. */
import * as result from 'true-myth/result';
import * as records from '@gypsumwall/records';
import * as settings from '@gypsumwall/settings';
import type * as types from '@gypsumwall/types';
import * as logProblem from './log_problem.js';
import * as problem from './problem.js';

/** Options of `createSettingsService`. */
export interface SettingsServiceOptions {
  readonly config: records.configFold.ConfigFold;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
}

/** An operator's request to publish a subtree. */
export interface PublishRequest {
  readonly path: string;
  /** Revision that the change is based on; -1 for a new subtree. */
  readonly base: number;
  readonly value: unknown;
  readonly operator: string;
}

/** The settings tree, for operators. */
export interface SettingsService {
  /**
   * Resolves to the new revision. Of two concurrent publishes of a subtree, the
   * first in log order takes effect and the other is refused.
   */
  publish(
    req: PublishRequest,
    deadline: types.clock.MonotonicMs,
  ): Promise<result.Result<number, problem.Problem>>;
}

/** Creates the service. */
export function createSettingsService(
  options: SettingsServiceOptions,
): SettingsService {
  const {config, follower, appender} = options;

  /** Finds problems that can be detected before anything is appended. */
  function checkBeforeAppend(req: PublishRequest): problem.Problem | undefined {
    const checked = settings.checkSubtree.checkSubtree(req.path, req.value);
    if (checked.isErr) return invalid(checked.error);
    const newest = config.subtree(req.path)?.revision;
    const known = newest ?? records.configFold.NO_REVISION;
    return req.base < known ? conflict(req, known) : undefined;
  }

  return {
    publish: async (req, deadline) => {
      const earlyProblem = checkBeforeAppend(req);
      if (earlyProblem !== undefined) return result.err(earlyProblem);
      const outage = appender.outage();
      if (outage !== undefined) {
        return result.err(logProblem.logUnavailable(outage.retryAfterMs));
      }
      const body = records.envelope.encodeRecord({type: 'publish', ...req});
      const appended = await appender.append(body, deadline);
      if (appended.isErr) {
        return result.err(logProblem.ofStepError(appended.error));
      }
      const {offset} = appended.value;
      const wasReadBack = await follower.waitFor(offset, deadline);
      const verdict = wasReadBack ? config.verdict(offset) : undefined;
      if (verdict === undefined) {
        return result.err(
          problem.unknownOutcome(
            `the record was appended at offset ${offset}, but could not be ` +
              'read back: read the subtree again before the next publish',
          ),
        );
      }
      switch (verdict.type) {
        case 'in_force':
          return result.ok(offset);
        case 'conflict':
          return result.err(conflict(req, verdict.newest));
        case 'invalid':
          return result.err(invalid(verdict.problems));
      }
    },
  };
}

function conflict(req: PublishRequest, newest: number): problem.Problem {
  return problem.notRun(
    'conflict',
    `subtree "${req.path}" is at revision ${newest}, the change was based ` +
      `on ${req.base}: read the subtree again and repeat the change`,
  );
}

function invalid(
  problems: readonly settings.settingsProblem.SettingsProblem[],
): problem.Problem {
  const texts = problems.map(
    ({path, value, message, remedy}) =>
      `${path}: ${message} (value ${value}); ${remedy}`,
  );
  return problem.notRun('invalid', texts.join(' | '));
}
