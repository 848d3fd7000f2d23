/**
 * Measures one failure domain of real entries over HTTP: the processor time of
 * its holder while tasks are running, and how fast the holder starts tasks.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as timers from 'node:timers/promises';
import * as settings from '@gypsumwall/settings';
import type * as entryProcess from '../entry_process.js';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';
import * as site from '../site.js';

/** Size of the failure domain, and for how long its idle load is measured. */
export interface DomainSize {
  readonly workers: number;
  readonly tasksPerWorker: number;
  readonly idleMs: number;
}

/** Results of a measurement. */
export interface DomainMeasurement {
  readonly workers: number;
  readonly tasks: number;
  /** Rate from the submission until all tasks run. */
  readonly startsPerSecond: number;
  readonly holderCpuMicrosPerStart: number;
  /** Processor cores used while only heartbeats are exchanged. */
  readonly holderCores: number;
  readonly otherCores: number;
  readonly holderRssMb: number;
  readonly otherRssMb: number;
}

const DOMAIN = 'merkato-hall';
const TEAM = 'scale';
const TOKENS: site.Tokens = {
  rootOperator: 'dev-scale-root',
  teams: {[TEAM]: 'dev-scale'},
  operators: {},
};
const WORKERS_PER_RACK = 10;
const TASK = {cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0};
const START_TIMEOUT_MS = 60_000;
const KIB_PER_MIB = 1_024;

/**
 * Starts the failure domain, fills it with a service and measures its entries.
 */
export async function measureDomain(
  size: DomainSize,
): Promise<DomainMeasurement> {
  const cell = await launchCell.launchCell({
    site: siteOf(size),
    tokens: TOKENS,
    tree: treeOf(),
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  try {
    const holder = await findHolder(cell);
    const tasks = size.workers * size.tasksPerWorker;
    const cpuBefore = holder.cpuMs();
    const startedAt = performance.now();
    await submitService(holder, tasks);
    await waitForActive(holder, tasks);
    const startMs = performance.now() - startedAt;
    const startCpuMs = holder.cpuMs() - cpuBefore;
    const others = cell.entries().filter((entry) => entry !== holder);
    const idle = await idleCores([holder, ...others], size.idleMs);
    return {
      workers: size.workers,
      tasks,
      startsPerSecond: (tasks / startMs) * 1_000,
      holderCpuMicrosPerStart: (startCpuMs / tasks) * 1_000,
      holderCores: idle[0] ?? NaN,
      otherCores: idle[1] ?? NaN,
      holderRssMb: rssMb(holder),
      otherRssMb: others[0] === undefined ? NaN : rssMb(others[0]),
    };
  } finally {
    await cell.close();
  }
}

function siteOf(size: DomainSize): site.Site {
  return site.siteSchema.parse({
    failureDomains: [
      {
        name: DOMAIN,
        entries: 2,
        upstreams: 1,
        racks: size.workers / WORKERS_PER_RACK,
      },
    ],
    workersPerRack: WORKERS_PER_RACK,
    workerCapacity: {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0},
    upstream: {slots: 8, connections: 64},
    entrySettings: {logLevel: 'warn', listLagMs: 1_000},
  });
}

function treeOf(): settings.cellTree.CellTree {
  return settings.cellTree.cellTreeSchema.parse({
    cell: {name: 'scale', failureDomains: [DOMAIN]},
    teams: {
      [TEAM]: {
        tokenHashes: [sha256(TOKENS.teams[TEAM] ?? '')],
        quota: {cpuMillis: 1e8, memoryMb: 1e8, accelerators: 0},
      },
    },
  });
}

function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

interface Status {
  readonly scheduler: {readonly activeTasks: number} | null;
}

async function statusOf(entry: entryProcess.EntryProcess): Promise<Status> {
  const status = await entry.client.status(TOKENS.rootOperator);
  return (status ?? {scheduler: null}) as Status;
}

async function findHolder(
  cell: launchCell.Cell,
): Promise<entryProcess.EntryProcess> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < deadline) {
    for (const entry of cell.entries()) {
      if ((await statusOf(entry)).scheduler !== null) return entry;
    }
    await timers.setTimeout(100);
  }
  throw new Error('no entry holds the domain');
}

async function submitService(
  holder: entryProcess.EntryProcess,
  replicas: number,
): Promise<void> {
  const outcome = await holder.client.submit({
    callId: 'scale',
    token: TOKENS.teams[TEAM] ?? '',
    team: TEAM,
    label: 'scale',
    spec: {
      shape: {kind: 'service', replicas},
      jobClass: 'scale',
      urgency: 'normal',
      size: TASK,
      estimateMs: 3_600_000,
      work: {command: 'serve', args: {runMs: 3_600_000, label: 'scale'}},
    },
  });
  if (outcome.type !== 'accepted') throw new Error(JSON.stringify(outcome));
}

async function waitForActive(
  holder: entryProcess.EntryProcess,
  tasks: number,
): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  let active = 0;
  while (active < tasks) {
    if (performance.now() > deadline) {
      throw new Error(`only ${active} of ${tasks} tasks became active in time`);
    }
    active = (await statusOf(holder)).scheduler?.activeTasks ?? 0;
    await timers.setTimeout(10);
  }
}

/**
 * Returns the processor cores that each entry uses while it receives no calls.
 */
async function idleCores(
  entries: readonly entryProcess.EntryProcess[],
  idleMs: number,
): Promise<number[]> {
  await timers.setTimeout(1_000);
  const before = entries.map((entry) => entry.cpuMs());
  const startedAt = performance.now();
  await timers.setTimeout(idleMs);
  const elapsedMs = performance.now() - startedAt;
  return entries.map(
    (entry, index) => (entry.cpuMs() - (before[index] ?? 0)) / elapsedMs,
  );
}

function rssMb(entry: entryProcess.EntryProcess): number {
  const text = fs.readFileSync(`/proc/${entry.child.pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+)/m.exec(text)?.[1] ?? NaN) / KIB_PER_MIB;
}
