/** A domain's log stream on virtual time; faults make its appends fail. */
import * as result from 'true-myth/result';
import type * as records from '@gypsumwall/records';
import type * as types from '@gypsumwall/types';
import type * as claimFaults from './claim_faults.js';
import type * as virtualTime from './virtual_time.js';

type AppendAnswer = result.Result<{offset: number}, types.stepError.StepError>;

/**
 * The stream. The faults `log_down`, `cut_from_log`, `answers_lost` and
 * `appends_late` apply to it.
 */
export interface FakeStream {
  isReached(machine: number): boolean;
  append(
    process: virtualTime.VirtualProcess,
    machine: number,
    record: records.domainRecords.DomainRecord,
  ): Promise<AppendAnswer>;
  recordsFrom(offset: number): readonly records.domainRecords.DomainRecord[];
}

/** Options of `createFakeStream`. */
export interface FakeStreamOptions {
  readonly time: virtualTime.VirtualTime;
  readonly random: types.random.Random;
  readonly faults: claimFaults.LastingFaults;
  readonly maxDelayMs: number;
  readonly timeoutMs: number;
  /** Maximum delay of an append that takes effect late. */
  readonly maxLateMs: number;
}

/** Creates an empty stream. */
export function createFakeStream(options: FakeStreamOptions): FakeStream {
  const {time, random, faults} = options;
  const log: records.domainRecords.DomainRecord[] = [];
  const delay = () => random.integer(0, options.maxDelayMs);
  const isReached = (machine: number) =>
    !faults.isActive('log_down') && !faults.isActive(`cut_from_log ${machine}`);

  function appendToLog(record: records.domainRecords.DomainRecord): number {
    log.push(record);
    return log.length - 1;
  }

  return {
    isReached,
    recordsFrom: (offset) => log.slice(offset),
    append: (process, machine, record) =>
      new Promise((resolve) => {
        const answerAt = (moment: number, answer: AppendAnswer) =>
          process.deliverAt(moment, () => resolve(answer));
        time.at(time.now() + delay(), () => {
          const timeoutAt = time.now() + options.timeoutMs;
          if (!isReached(machine)) {
            answerAt(timeoutAt, appendError('not_run'));
          } else if (faults.isActive('appends_late')) {
            const lateAt = time.now() + random.integer(0, options.maxLateMs);
            time.at(lateAt, () => void appendToLog(record));
            answerAt(timeoutAt, appendError('unknown'));
          } else if (faults.isActive('answers_lost')) {
            appendToLog(record);
            answerAt(timeoutAt, appendError('unknown'));
          } else {
            const offset = appendToLog(record);
            answerAt(time.now() + delay(), result.ok({offset}));
          }
        });
      }),
  };
}

function appendError(effect: types.stepError.Effect): AppendAnswer {
  return result.err({
    kind: 'unreachable',
    step: 'log.append',
    peer: 'log',
    effect,
    message: 'the log is unreachable',
  });
}
