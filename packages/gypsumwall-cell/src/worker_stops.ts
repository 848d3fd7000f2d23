/** Sends stop orders to one worker until they are answered. */
import * as result from 'true-myth/result';
import type * as ports from './ports.js';
import type * as unansweredStarts from './unanswered_starts.js';

/**
 * Timeout of the answer to an order, thirty times the usual latency. An
 * unanswered order is settled by a stop and a poll before its task starts
 * elsewhere, and urgent tasks can spare about 500 ms for all of that;
 * milliseconds.
 */
export const ORDER_TIMEOUT_MS = 250;
/**
 * Pause after an unanswered or refused stop, doubled after each further one up
 * to the maximum: the stops of all attempts on a worker fail together;
 * milliseconds.
 */
const FIRST_STOP_PAUSE_MS = 150;
const MAX_STOP_PAUSE_MS = 600;

/** Dependencies of the stops. */
export interface WorkerStopsParts {
  readonly link: ports.WorkerLink;
  readonly token: number;
  /** Aborted when the session is closed. */
  readonly closing: AbortSignal;
  /** Whether an answer is from the incarnation of the session. */
  readonly isOwnAnswer: (answer: ports.OrderAnswer) => boolean;
  /** Resolves after a time in milliseconds, or when the session is closed. */
  readonly pause: (spanMs: number) => Promise<void>;
}

/** The stop orders of a session. */
export interface WorkerStops {
  /** Sends a stop until it is answered; returns whether it was accepted. */
  readonly send: (attempt: unansweredStarts.StartReference) => Promise<boolean>;
}

/** Creates the stop orders of a session. */
export function createWorkerStops({
  link,
  token,
  closing,
  isOwnAnswer,
  pause,
}: WorkerStopsParts): WorkerStops {
  return {
    async send({taskId, attempt}) {
      let pauseMs = FIRST_STOP_PAUSE_MS;
      while (!closing.aborted) {
        const timeoutMs = ORDER_TIMEOUT_MS;
        const answer = await link.stop({taskId, attempt, token, timeoutMs});
        if (result.isOk(answer) && !closing.aborted) {
          const isOwn = isOwnAnswer(answer.value);
          if (answer.value.type === 'accepted' && isOwn) return true;
          if (answer.value.type !== 'refused' && isOwn) return false;
        }
        await pause(pauseMs);
        pauseMs = Math.min(MAX_STOP_PAUSE_MS, pauseMs * 2);
      }
      return false;
    },
  };
}
