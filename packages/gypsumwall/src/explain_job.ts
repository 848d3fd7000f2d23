/** Implements `explain`: asks an entry where a job would go now. */
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';
import * as readInput from './read_input.js';

/** Flags of `explain`. */
export interface ExplainFlags extends callFlags.CallFlags {
  readonly job: string;
  readonly queue: string;
  readonly organisation?: string;
  readonly json: boolean;
}

/** The entry's answer, as far as it is printed. */
interface Explanation {
  readonly admission: {
    readonly type: string;
    readonly reason?: string;
    readonly retryAfterMs?: number;
  };
  readonly holder?: string;
  readonly replicaAgeMs: number | null;
  readonly placement?: {
    readonly objectiveMs: number;
    readonly expectedMs: number;
    readonly steps: readonly StepAnswer[];
  };
}

interface StepAnswer {
  readonly step: number;
  readonly tasks: number;
  readonly stepsAhead: number;
  readonly workers: Readonly<Record<string, number>>;
  readonly outlook: Outlook;
}

type Outlook =
  | {
      readonly type: 'starts';
      readonly isNear: boolean;
      readonly waiting: number;
      readonly workers: ReadonlyArray<{
        readonly worker: string;
        readonly rack: string;
        readonly tasks: number;
      }>;
    }
  | {
      readonly type: 'waits_for_near_place';
      readonly rack?: string;
      readonly atMostMs: number;
    }
  | {
      readonly type: 'asks_adviser';
      readonly workers: readonly string[];
      readonly callMs: number;
    }
  | {readonly type: 'waits_for_quota'}
  | {readonly type: 'waits_for_room'};

/** Prints what would become of the job in the file. */
export async function explainJob(
  flags: ExplainFlags,
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags, 'without_token');
  const {queue, organisation} = flags;
  const params = new URLSearchParams(
    organisation === undefined ? {queue} : {queue, organisation},
  );
  const answer = (await callEntry.callForJson(client, {
    method: 'POST',
    path: `/explain?${params.toString()}`,
    headers: {'content-type': 'application/json'},
    body: readInput.readInput(flags.job),
  })) as Explanation;
  if (flags.json) return print(JSON.stringify(answer, null, 2));
  for (const line of formatExplanation(answer)) print(line);
}

function formatExplanation({
  admission,
  holder,
  replicaAgeMs,
  placement,
}: Explanation): string[] {
  const {type, reason, retryAfterMs} = admission;
  const refusal =
    reason === undefined ? '' : `: ${reason}, retry after ${retryAfterMs} ms`;
  const age = replicaAgeMs === null ? 'unknown' : `${replicaAgeMs} ms`;
  const lines = [`admission: ${type}${refusal} (age of the copy: ${age})`];
  if (placement === undefined) {
    const name = holder ?? 'unknown';
    return [...lines, `placement: known to the holder only, which is ${name}`];
  }
  const {objectiveMs, expectedMs, steps} = placement;
  lines.push(`objective: ${objectiveMs} ms, expected: ${expectedMs} ms`);
  return [...lines, ...steps.flatMap(formatStep)];
}

function formatStep({
  step,
  tasks,
  stepsAhead,
  workers,
  outlook,
}: StepAnswer): string[] {
  const reasons = Object.entries(workers).map(
    ([reason, count]) => `${reason}:${count}`,
  );
  return [
    `step ${step}, ${tasks} tasks, ${stepsAhead} steps ahead: ${describe(outlook)}`,
    `  workers: ${reasons.join(',')}`,
  ];
}

function describe(outlook: Outlook): string {
  switch (outlook.type) {
    case 'starts': {
      const places = outlook.workers.map(
        ({worker, rack, tasks}) => `${worker} (${rack}) x ${tasks}`,
      );
      const far = outlook.isNear ? '' : ', far';
      const rest = outlook.waiting > 0 ? `, ${outlook.waiting} wait` : '';
      return `starts on ${places.join(', ')}${far}${rest}`;
    }
    case 'waits_for_near_place':
      return `waits for rack ${outlook.rack ?? 'unknown'}, ${outlook.atMostMs} ms at most`;
    case 'asks_adviser':
      return `the adviser is asked about ${outlook.workers.length} workers, in ${outlook.callMs} ms: ${outlook.workers.join(', ')}`;
    case 'waits_for_quota':
      return 'waits: the quota of its organisation has no room';
    case 'waits_for_room':
      return 'waits: no worker that it may use has room';
  }
}
