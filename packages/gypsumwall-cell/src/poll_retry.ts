/**
 * Looks at a worker, and once more when the answer is overdue. A worker that
 * leaves one call in twenty unanswered leaves looks unanswered as well: what
 * had ended there was heard of with the look's timeout, 1.2 s later, and the
 * worker counted as out of reach until the look after it had come back. In six
 * seconds of such trouble on 33 workers, sound ones were taken for lost 26
 * times, and 3 times with a second look.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/**
 * Beyond its wait, a look usually takes 5 ms; those that take this much longer
 * are seldom answered at all; milliseconds.
 */
const OVERDUE_AFTER_MS = 120;

/** A look's answer and when it was asked for. */
export interface PollResult {
  readonly answer: Awaited<ports.Answer<ports.PollAnswer>>;
  readonly askedAt: types.clock.MonotonicMs;
}

/** The first answer of the look and, if it is overdue, of a second one. */
export async function pollRetry(
  link: ports.WorkerLink,
  call: ports.PollCall,
  clock: types.clock.Clock,
): Promise<PollResult> {
  const giveUpAt = types.clock.after(clock.monotonic(), call.timeoutMs);
  const answered = new AbortController();
  const first = pollOnce(link, call, clock);
  void first.then(() => answered.abort());
  const overdueMs = call.waitMs + OVERDUE_AFTER_MS;
  await types.clock.sleepFor(clock, overdueMs, answered.signal);
  const timeoutMs = giveUpAt - clock.monotonic();
  if (answered.signal.aborted || timeoutMs <= 0) return first;
  const second = pollOnce(link, {...call, waitMs: 0, timeoutMs}, clock);
  return firstAnswered(first, second);
}

async function pollOnce(
  link: ports.WorkerLink,
  call: ports.PollCall,
  clock: types.clock.Clock,
): Promise<PollResult> {
  const askedAt = clock.monotonic();
  return {askedAt, answer: await link.poll(call)};
}

/** The one that is answered first; an error only if neither is. */
async function firstAnswered(
  first: Promise<PollResult>,
  second: Promise<PollResult>,
): Promise<PollResult> {
  const sooner = await Promise.race([first, second]);
  if (result.isOk(sooner.answer)) return sooner;
  const [one, other] = await Promise.all([first, second]);
  return result.isOk(one.answer) ? one : other;
}
