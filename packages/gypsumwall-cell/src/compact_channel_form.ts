/**
 * The form of a worker channel for busy links: rows in place of objects,
 * workers and payloads by number, and of a report only what has changed since
 * the worker's last one on the same stream. Both ends keep the same tables,
 * because the lines of a stream arrive once and in order.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as compactRows from './compact_rows.js';
import type * as ports from './ports.js';
import * as runningChanges from './running_changes.js';
import * as sentPayloads from './sent_payloads.js';
import * as workerChannel from './worker_channel.js';

type Report = Extract<ports.PollAnswer, {readonly type: 'report'}>;

interface IntroducedWorker extends workerChannel.Endpoint {
  readonly position: number;
}

/** Creates the holder's end of a stream. */
export function createHolderForm(
  sendsPayload: workerChannel.SendsPayload,
): workerChannel.HolderForm {
  const introduced = new Map<types.ids.WorkerId, IntroducedWorker>();
  let introductions = 0;
  const payloads = sentPayloads.createSentPayloads();
  const lastRunning = new Map<
    number,
    readonly scheduling.schedulerTypes.RunningAttempt[]
  >();
  let token = 0;

  function encodeStart(
    nth: number,
    position: number,
    call: ports.StartCall,
  ): compactRows.StartRow {
    const {taskId, attempt, leaseUntil, timeoutMs, payload, ticket} = call;
    const known = payloads.find(payload);
    const number =
      known ?? (sendsPayload(payload) ? payloads.add(payload) : null);
    const head = [nth, 'start', position, taskId, attempt] as const;
    const row = [...head, leaseUntil, timeoutMs, number] as const;
    if (call.checkpoint !== undefined)
      return [...row, ticket ?? null, call.checkpoint];
    return ticket === undefined ? row : [...row, ticket];
  }

  /**
   * The peer calls the worker that was introduced last under an id. A call of
   * the incarnation before may come after those of the next one, which is then
   * introduced again: its calls would go to the address of the one before.
   */
  function positionOf(
    worker: scheduling.workerRegistry.WorkerInfo,
    added: scheduling.workerRegistry.WorkerInfo[],
  ): number {
    const known = introduced.get(worker.id);
    if (known !== undefined && workerChannel.isSameEndpoint(known, worker))
      return known.position;
    const {address, bornMs} = worker;
    const position = introductions++;
    introduced.set(worker.id, {address, bornMs, position});
    added.push(worker);
    return position;
  }

  function encodeCall(
    {nth, worker, call}: workerChannel.ChannelCall,
    added: scheduling.workerRegistry.WorkerInfo[],
  ): compactRows.CallsLine['calls'][number] {
    const position = positionOf(worker, added);
    // All calls of a holder carry the same token.
    token = call.call.token;
    switch (call.type) {
      case 'start':
        return encodeStart(nth, position, call.call);
      case 'stop': {
        const {taskId, attempt, timeoutMs} = call.call;
        return [nth, 'stop', position, taskId, attempt, timeoutMs];
      }
      case 'poll': {
        const {acknowledged, waitMs, timeoutMs, leaseUntil} = call.call;
        const head = [nth, 'poll', position, acknowledged] as const;
        return leaseUntil === undefined
          ? [...head, waitMs, timeoutMs]
          : [...head, waitMs, timeoutMs, leaseUntil];
      }
    }
  }

  function decodeAnswer(row: compactRows.AnswerRow): workerChannel.SentAnswer {
    const [nth] = row;
    compactRows.checkKind(row[1], compactRows.ANSWER_KINDS);
    switch (row[1]) {
      case 'accepted':
        return {
          nth,
          answer: {type: 'accepted', clockMs: row[2], bornMs: row[3]},
        };
      case 'refused':
        return {
          nth,
          answer: {type: 'refused', reason: row[2], bornMs: row[3]},
        };
      case 'fenced':
      case 'gone':
        return {nth, answer: {type: row[1]}};
      case 'err':
        return {nth, err: row[2]};
      case 'report': {
        const [, , position, clockMs, changes, ends, hasMore, bornMs] = row;
        const running = runningChanges.applyChanges(
          lastRunning.get(position) ?? [],
          changes,
        );
        lastRunning.set(position, running);
        const answer: Report = {
          type: 'report',
          clockMs,
          running,
          ends: ends.map(compactRows.decodeEnd),
          hasMoreEnds: hasMore === 1,
          bornMs,
        };
        return {nth, answer};
      }
    }
  }

  return {
    encodeCalls(sent, answerDelayMs) {
      const workers: scheduling.workerRegistry.WorkerInfo[] = [];
      const calls = sent.map((call) => encodeCall(call, workers));
      const added = payloads.takeAdded();
      const line: compactRows.CallsLine = {
        workers: workers.length > 0 ? workers : undefined,
        payloads: added.length > 0 ? added : undefined,
        token,
        delayMs: Math.round(answerDelayMs),
        calls,
      };
      return JSON.stringify(line);
    },
    decodeAnswers(text) {
      const {answers, leaving} = JSON.parse(
        text,
      ) as Partial<compactRows.AnswersLine>;
      if (!Array.isArray(answers)) throw new Error('no line of answers');
      const rows = answers as compactRows.AnswersLine['answers'];
      return {answers: rows.map(decodeAnswer), isLeaving: leaving === 1};
    },
  };
}

/** Creates the peer's end of a stream. */
export function createPeerForm(): workerChannel.PeerForm {
  const workerIds: types.ids.WorkerId[] = [];
  /** Starts of the incarnations that the holder calls, as it knows them. */
  const births = new Map<types.ids.WorkerId, number | undefined>();
  const positions = new Map<types.ids.WorkerId, number>();
  const payloads = new Map<number, string>();
  const lastRunning = new Map<
    number,
    readonly scheduling.schedulerTypes.RunningAttempt[]
  >();

  function decodeStart(
    row: compactRows.StartRow,
    token: number,
  ): workerChannel.ReceivedCall['call'] {
    const [, , , taskId, attempt, leaseUntil, timeoutMs, number] = row;
    const call = {
      taskId,
      attempt,
      token,
      leaseUntil,
      timeoutMs,
      ticket: row[8] ?? undefined,
      checkpoint: row[9],
    };
    if (number === null) return {type: 'start_by_reference', call};
    const payload = payloads.get(number);
    if (payload === undefined)
      throw new Error(`payload = ${number}: it was not sent on this stream`);
    return {type: 'start', call: {...call, payload}};
  }

  function decodeCall(
    row: compactRows.CallsLine['calls'][number],
    token: number,
  ): workerChannel.ReceivedCall {
    const [nth, , position] = row;
    const worker = workerIds[position];
    if (worker === undefined)
      throw new Error(`worker = ${position}: it was not sent on this stream`);
    compactRows.checkKind(row[1], compactRows.CALL_KINDS);
    switch (row[1]) {
      case 'start':
        return {nth, worker, call: decodeStart(row, token)};
      case 'stop': {
        const [, , , taskId, attempt, timeoutMs] = row;
        const call = {taskId, attempt, token, timeoutMs};
        return {nth, worker, call: {type: 'stop', call}};
      }
      case 'poll': {
        const [, , , acknowledged, waitMs, timeoutMs, leaseUntil] = row;
        const call = {token, acknowledged, waitMs, timeoutMs, leaseUntil};
        return {nth, worker, call: {type: 'poll', call}};
      }
    }
  }

  function encodeReport(
    nth: number,
    worker: types.ids.WorkerId,
    report: Report,
  ): compactRows.AnswerRow {
    const position = positions.get(worker)!;
    const before = lastRunning.get(position) ?? [];
    const changes = runningChanges.findChanges(before, report.running);
    lastRunning.set(position, runningChanges.applyChanges(before, changes));
    const ends = report.ends.map(compactRows.encodeEnd);
    const hasMore = report.hasMoreEnds ? 1 : 0;
    const row = [nth, 'report', position, report.clockMs] as const;
    return [...row, changes, ends, hasMore, ...otherBirth(worker, report)];
  }

  /** The start of the incarnation that answered, if the holder needs it. */
  function otherBirth(
    worker: types.ids.WorkerId,
    {bornMs}: {readonly bornMs?: number},
  ): [number?] {
    if (bornMs === undefined || births.get(worker) === bornMs) return [];
    return [bornMs];
  }

  return {
    decodeCalls(text) {
      const line = JSON.parse(text) as Partial<compactRows.CallsLine>;
      const {workers = [], token, delayMs, calls} = line;
      if (
        typeof token !== 'number' ||
        typeof delayMs !== 'number' ||
        !Array.isArray(calls)
      ) {
        const names = Object.keys(line).join(',');
        throw new Error(`fields = ${names}: no line of calls`);
      }
      for (const {id, bornMs} of workers) {
        positions.set(id, workerIds.push(id) - 1);
        births.set(id, bornMs);
      }
      const added = line.payloads ?? [];
      for (const [number, payload] of added) payloads.set(number, payload);
      const rows = calls as compactRows.CallsLine['calls'];
      const received = rows.map((row) => decodeCall(row, token));
      // The calls of a line may use payloads that the same line displaces.
      for (const [number] of added)
        payloads.delete(number - sentPayloads.MAX_KNOWN_PAYLOADS);
      return {workers, calls: received, answerDelayMs: delayMs};
    },
    encodeAnswers(sent, isLeaving) {
      const answers = sent.map((one): compactRows.AnswerRow => {
        const {nth} = one;
        if ('err' in one) return [nth, 'err', one.err];
        const {answer} = one;
        switch (answer.type) {
          case 'accepted':
            return [
              nth,
              'accepted',
              answer.clockMs,
              ...otherBirth(one.worker, answer),
            ];
          case 'refused':
            return [
              nth,
              'refused',
              answer.reason,
              ...otherBirth(one.worker, answer),
            ];
          case 'fenced':
          case 'gone':
            return [nth, answer.type];
          case 'report':
            return encodeReport(nth, one.worker, answer);
        }
      });
      const line: compactRows.AnswersLine = isLeaving
        ? {leaving: 1, answers}
        : {answers};
      return JSON.stringify(line);
    },
  };
}
