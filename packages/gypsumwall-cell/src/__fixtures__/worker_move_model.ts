/**
 * A model of one worker that moves between two shards. There are two logs, four
 * entries that claim shards, and calls that are late, lost or out of order. The
 * protocol's rules are those of docs/design/007; each fault omits one of them.
 */

/** Number of ticks that a holder acts without a successful append. */
const MAX_UNCONFIRMED_TICKS = 2;
/** Length of a lease in ticks. */
const LEASE_TICKS = 3;
/** Ticks after a claim until every lease of earlier holders has expired. */
const LEASES_EXPIRED_TICKS = MAX_UNCONFIRMED_TICKS + LEASE_TICKS;
/** With more claims no holder would have time to do anything. */
const MAX_CLAIMS = 4;
/** Larger than every epoch of a log. */
const EPOCHS_PER_GENERATION = 1_000_000;

/** The rule that is omitted. */
export type Fault =
  | 'none'
  | 'lease_not_awaited'
  | 'expired_lease_not_confirmed'
  | 'open_orders_move'
  | 'silence_means_refused'
  | 'renewal_before_answer'
  | 'poll_without_fence'
  | 'release_without_epoch';

/** Whether the worker refuses tokens lower than one it has seen. */
export interface ModelOptions {
  readonly fenced: boolean;
  readonly fault: Fault;
}

export const ENTRY_OPERATIONS = [
  'claim',
  'confirm',
  'order',
  'renew',
  'poll',
  'stop',
  'settle',
  'release',
  'adopt',
] as const;

export const OTHER_OPERATIONS = [
  'tick',
  'deliver',
  'deliver_unanswered',
  'lose',
  'answer',
  'end_run',
] as const;

type EntryOperation = (typeof ENTRY_OPERATIONS)[number];
type OtherOperation = (typeof OTHER_OPERATIONS)[number];

/** A pick that chooses the newest call or answer. */
export const NEWEST = -1;

/** One event; `pick` chooses an entry, call or answer. */
export interface Operation {
  readonly name: EntryOperation | OtherOperation;
  readonly pick: number;
}

type Shard = 0 | 1;

type LogRecord =
  | {readonly kind: 'claim'; readonly entry: number}
  | {readonly kind: 'release' | 'adopt'; readonly generation: number};

interface Call {
  readonly kind: 'start' | 'renew' | 'poll' | 'stop';
  readonly from: Holder;
  readonly token: number;
  readonly attempt: number;
  readonly leaseUntil: number;
}

interface Answer {
  readonly call: Call;
  readonly isAccepted: boolean;
  /** Attempts that were running when the call was answered. */
  readonly running: readonly number[];
}

interface Holder {
  readonly shard: Shard;
  readonly epoch: number;
  readonly claimedAt: number;
  confirmedAt: number;
  /**
   * Number of moves of the worker; undefined unless it belongs to the holder's
   * shard.
   */
  generation: number | undefined;
  /** Whether the holder knows what earlier holders left on the worker. */
  isAccounted: boolean;
  /** An attempt that may be running, until the lease's end at the latest. */
  open?: {readonly attempt: number};
  leaseUntil: number;
}

/** One execution of the model. */
export interface WorkerMoveModel {
  apply(operation: Operation): void;
  /** The rule that is violated; undefined if there is none. */
  brokenRule(): string | undefined;
  /** Number of attempts that ran, by the shard that ordered them. */
  startsOf(shard: Shard): number;
}

/**
 * Creates a model in which the worker belongs to shard 0 and nobody holds a
 * claim.
 */
export function createWorkerMoveModel({
  fenced,
  fault,
}: ModelOptions): WorkerMoveModel {
  const logs: LogRecord[][] = [[{kind: 'adopt', generation: 0}], []];
  /** Entries 0 and 1 claim shard 0, the others shard 1. */
  const holders: (Holder | undefined)[] = [
    undefined,
    undefined,
    undefined,
    undefined,
  ];
  const calls: Call[] = [];
  const answers: Answer[] = [];
  /** The token that each attempt was ordered with. */
  const attempts: number[] = [];
  /**
   * Attempts that a holder considers over, so that their tasks may run again.
   */
  const over = new Set<number>();
  const starts = [0, 0];
  const worker = {
    token: 0,
    leaseUntil: 0,
    running: new Set<number>(),
    stopped: new Set<number>(),
  };
  let now = 0;
  let claims = 0;

  const newestEpoch = (shard: Shard) =>
    logs[shard]!.findLastIndex((record) => record.kind === 'claim');
  const isNewest = ({shard, epoch}: Holder) => newestEpoch(shard) === epoch;

  /** Number of moves of the worker, if it belongs to the shard. */
  function generationAt(shard: Shard): number | undefined {
    const last = logs[shard]!.findLast((record) => record.kind !== 'claim');
    return last?.kind === 'adopt' ? last.generation : undefined;
  }

  /**
   * Tokens increase with the epochs within a shard, and with the moves between
   * shards.
   */
  function tokenOf({generation, epoch}: Holder): number {
    return generation! * EPOCHS_PER_GENERATION + epoch + 1;
  }

  const mayAct = (holder: Holder) =>
    now - holder.confirmedAt < MAX_UNCONFIRMED_TICKS;
  const owns = (holder: Holder) => holder.generation !== undefined;

  function claim(entry: number): void {
    const shard: Shard = entry < 2 ? 0 : 1;
    if (claims >= MAX_CLAIMS) return;
    if (holders[entry] !== undefined && isNewest(holders[entry])) return;
    claims++;
    const isFirst = newestEpoch(shard) < 0;
    const epoch = logs[shard]!.push({kind: 'claim', entry}) - 1;
    holders[entry] = {
      shard,
      epoch,
      claimedAt: now,
      confirmedAt: now,
      generation: generationAt(shard),
      isAccounted: isFirst || fault === 'lease_not_awaited',
      leaseUntil: 0,
    };
  }

  /** Appends under the holder's epoch; the log rejects an older epoch. */
  function append(entry: number, record: LogRecord | undefined): boolean {
    const holder = holders[entry]!;
    if (!isNewest(holder)) {
      const isUnchecked =
        record?.kind === 'release' && fault === 'release_without_epoch';
      if (isUnchecked) logs[holder.shard]!.push(record);
      holders[entry] = undefined;
      return false;
    }
    if (record !== undefined) logs[holder.shard]!.push(record);
    holder.confirmedAt = now;
    return true;
  }

  function order(holder: Holder): void {
    if (!mayAct(holder) || !owns(holder)) return;
    if (!holder.isAccounted || holder.open !== undefined) return;
    const attempt = attempts.push(tokenOf(holder)) - 1;
    holder.open = {attempt};
    send(holder, 'start', attempt, lease(holder));
  }

  function renew(holder: Holder): void {
    if (!mayAct(holder) || !owns(holder)) return;
    // A renewal extends all attempts, also those of an earlier holder.
    if (!holder.isAccounted && fault !== 'renewal_before_answer') return;
    send(holder, 'renew', -1, lease(holder));
  }

  function lease(holder: Holder): number {
    holder.leaseUntil = Math.max(holder.leaseUntil, now + LEASE_TICKS);
    return now + LEASE_TICKS;
  }

  function send(
    from: Holder,
    kind: Call['kind'],
    attempt = -1,
    leaseUntil = 0,
  ): void {
    calls.push({kind, from, token: tokenOf(from), attempt, leaseUntil});
  }

  function stop(holder: Holder): void {
    if (owns(holder) && holder.open !== undefined) {
      send(holder, 'stop', holder.open.attempt);
    }
  }

  /**
   * Settles what depends on time alone, once an append succeeded after it:
   * before that, a successor may have renewed the lease.
   */
  function settle(holder: Holder): void {
    if (!owns(holder)) return;
    const unconfirmed = fault === 'expired_lease_not_confirmed';
    const until = unconfirmed ? now : holder.confirmedAt;
    if (!holder.isAccounted) {
      if (until - holder.claimedAt < LEASES_EXPIRED_TICKS) return;
      holder.isAccounted = true;
      markOver(holder, []);
      return;
    }
    if (holder.open === undefined) return;
    const passed = until >= holder.leaseUntil;
    if (passed || fault === 'silence_means_refused') close(holder);
  }

  function close(holder: Holder): void {
    over.add(holder.open!.attempt);
    holder.open = undefined;
  }

  /** All attempts of earlier holders are over, except the listed ones. */
  function markOver(holder: Holder, listed: readonly number[]): void {
    attempts.forEach((token, attempt) => {
      const earlier = token < tokenOf(holder);
      if (earlier && !listed.includes(attempt)) over.add(attempt);
    });
  }

  function release(entry: number): void {
    const holder = holders[entry]!;
    if (!owns(holder) || !holder.isAccounted) return;
    if (holder.open !== undefined && fault !== 'open_orders_move') return;
    const generation = holder.generation!;
    if (append(entry, {kind: 'release', generation})) {
      holder.generation = undefined;
      holder.open = undefined;
    }
  }

  function adopt(entry: number): void {
    const holder = holders[entry]!;
    if (owns(holder)) return;
    const other: Shard = holder.shard === 0 ? 1 : 0;
    const last = logs[other]!.findLast((record) => record.kind !== 'claim');
    if (last?.kind !== 'release') return;
    const generation = last.generation + 1;
    const own = logs[holder.shard]!.findLast((one) => one.kind !== 'claim');
    if (own?.kind === 'adopt' && own.generation >= generation) return;
    if (own?.kind === 'release' && own.generation >= generation) return;
    if (!append(entry, {kind: 'adopt', generation})) return;
    holder.generation = generation;
    // The release guarantees that nothing of the other shard can run any more.
    holder.isAccounted = true;
    holder.leaseUntil = 0;
    markOver(holder, []);
  }

  function deliver(call: Call, answered: boolean): void {
    const isAccepted = receive(call);
    if (answered)
      answers.push({call, isAccepted, running: [...worker.running]});
  }

  function receive(call: Call): boolean {
    if (fenced && call.token < worker.token) return false;
    if (fenced) worker.token = call.token;
    switch (call.kind) {
      case 'start':
        if (now >= call.leaseUntil) return false;
        if (worker.stopped.has(call.attempt)) return false;
        worker.leaseUntil = Math.max(worker.leaseUntil, call.leaseUntil);
        worker.running.add(call.attempt);
        starts[call.from.shard]!++;
        return true;
      case 'renew':
        worker.leaseUntil = Math.max(worker.leaseUntil, call.leaseUntil);
        return true;
      case 'stop':
        worker.stopped.add(call.attempt);
        worker.running.delete(call.attempt);
        return true;
      case 'poll':
        return true;
    }
  }

  function onAnswer({call, isAccepted, running}: Answer): void {
    const holder = call.from;
    if (!holders.includes(holder) || !owns(holder)) return;
    if (call.token !== tokenOf(holder)) return;
    if (!isAccepted) {
      if (call.kind === 'start' && holder.open?.attempt === call.attempt) {
        close(holder);
      }
      return;
    }
    if (call.kind === 'stop' && holder.open?.attempt === call.attempt) {
      close(holder);
    }
    if (call.kind === 'poll' && !holder.isAccounted) account(holder, running);
  }

  /** Without fencing a late order of an earlier holder may still arrive. */
  function account(holder: Holder, running: readonly number[]): void {
    if (!fenced && fault !== 'poll_without_fence') return;
    holder.isAccounted = true;
    markOver(holder, running);
    const [attempt] = running;
    if (attempt === undefined) return;
    holder.open = {attempt};
    holder.leaseUntil = Math.max(holder.leaseUntil, now + LEASES_EXPIRED_TICKS);
  }

  function tick(): void {
    now++;
    if (now >= worker.leaseUntil) worker.running.clear();
  }

  const entryOperations: Record<
    EntryOperation,
    (holder: Holder, entry: number) => void
  > = {
    claim: (_, entry) => claim(entry),
    confirm: (_, entry) => void append(entry, undefined),
    order,
    renew,
    poll(holder) {
      if (owns(holder)) send(holder, 'poll');
    },
    stop,
    settle,
    release: (_, entry) => release(entry),
    adopt: (_, entry) => adopt(entry),
  };

  const otherOperations: Record<OtherOperation, (pick: number) => void> = {
    tick,
    deliver(pick) {
      const call = pickFrom(calls, pick);
      if (call !== undefined) deliver(call, true);
    },
    deliver_unanswered(pick) {
      const call = pickFrom(calls, pick);
      if (call !== undefined) deliver(call, false);
    },
    lose: (pick) => void pickFrom(calls, pick),
    answer(pick) {
      const answer = pickFrom(answers, pick);
      if (answer !== undefined) onAnswer(answer);
    },
    end_run() {
      for (const attempt of worker.running) worker.stopped.add(attempt);
      worker.running.clear();
    },
  };

  function applyToEntry(name: EntryOperation, entry: number): void {
    const holder = holders[entry];
    if (holder !== undefined) entryOperations[name](holder, entry);
    else if (name === 'claim') claim(entry);
  }

  function pickFrom<Value>(list: Value[], pick: number): Value | undefined {
    return list.splice(pick % Math.max(1, list.length), 1)[0];
  }

  return {
    apply({name, pick}) {
      if (isEntryOperation(name)) applyToEntry(name, pick % holders.length);
      else otherOperations[name](pick);
    },
    brokenRule() {
      if (worker.running.size > 1)
        return 'two attempts use the capacity of one';
      for (const attempt of worker.running) {
        if (over.has(attempt))
          return 'an attempt that counts as over is running';
      }
      return undefined;
    },
    startsOf: (shard) => starts[shard]!,
  };
}

/** Whether the operation is one of an entry; `pick` is the entry then. */
export function isEntryOperation(
  name: Operation['name'],
): name is EntryOperation {
  return (ENTRY_OPERATIONS as readonly string[]).includes(name);
}
