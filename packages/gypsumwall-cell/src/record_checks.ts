/**
 * Checks the form of stored records when they are decoded. Only this program
 * writes them, but a record of another build, or one that was changed at the
 * store, must neither end the process of every entry that reads it nor lead to
 * a decision on missing numbers. The checks are written by hand because each
 * entry decodes each record. Fields that are not known are left alone.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as storeRecords from './store_records.js';

type Fields = Readonly<Record<string, unknown>>;

/** Length of a wrong value in an error. */
const MAX_SHOWN_LENGTH = 80;

/** Throws unless the body is a job. */
export function checkJob(body: unknown): storeRecords.JobRecord {
  const job = readObject(body, 'job');
  const request = readObject(job['request'], 'request');
  checkText(request, 'request.', 'payload');
  for (const one of readList(request['steps'], 'request.steps')) {
    const step = readObject(one, 'request.steps[]');
    readObject(step['size'], 'request.steps[].size');
    readList(step['after'], 'request.steps[].after');
  }
  if (request['schedule'] !== undefined)
    readObject(request['schedule'], 'request.schedule');
  checkPolicy(readObject(job['policy'], 'policy'));
  checkNumber(job, '', 'acceptedAt');
  checkOptionalText(job, 'organisation');
  const checked = job as unknown as storeRecords.JobRecord;
  const fault = scheduling.jobRequest.describeFault(checked.request);
  if (fault !== undefined) throw new Error(`request: ${fault}`);
  const normalized = scheduling.jobRequest.normalizeStored(checked.request);
  return normalized === checked.request
    ? checked
    : {...checked, request: normalized};
}

function checkPolicy(policy: Fields): void {
  checkText(policy, 'policy.', 'queue');
  checkText(policy, 'policy.', 'pool');
  checkNumber(policy, 'policy.', 'priority');
  checkNumber(policy, 'policy.', 'maxFailures');
  checkNumber(policy, 'policy.', 'slackFactor');
  checkNumber(policy, 'policy.', 'targetMs');
  if (policy['advice'] === undefined) return;
  const advice = readObject(policy['advice'], 'policy.advice');
  checkNumber(advice, 'policy.advice.', 'callMs');
  checkNumber(advice, 'policy.advice.', 'perWorkerMs');
  checkNumber(advice, 'policy.advice.', 'validMs');
}

/** The part of a progress record that is not in its key. */
export interface ProgressBody {
  /** Empty in the record of a job whose request is stored. */
  readonly queue: string;
  readonly organisation?: storeRecords.JobRecord['organisation'];
  readonly progress: scheduling.jobProgress.JobProgress;
}

const PHASES: ReadonlySet<unknown> = new Set<scheduling.jobProgress.JobPhase>([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** Throws unless the body is the progress of a job. */
export function checkProgress(body: unknown): ProgressBody {
  const fields = readObject(body, 'progress record');
  checkText(fields, '', 'queue');
  checkOptionalText(fields, 'organisation');
  const progress = readObject(fields['progress'], 'progress');
  if (!PHASES.has(progress['phase']))
    throw createFault('progress.phase', progress['phase'], 'a phase of a job');
  checkTexts(progress['workers'], 'progress.workers');
  checkWholes(progress['finished'], 'progress.finished');
  checkRanges(progress['finishedRanges']);
  checkCrashedWorkers(progress['crashedWorkers']);
  const occurrences = readObject(
    progress['occurrences'],
    'progress.occurrences',
  );
  for (const number in occurrences) {
    checkIndex(number, 'progress.occurrences');
    for (const step of readList(occurrences[number], 'progress.occurrences[]'))
      checkStep(readObject(step, 'step'));
  }
  return fields as unknown as ProgressBody;
}

function checkRanges(stored: unknown): void {
  if (stored === undefined) return;
  const path = 'progress.finishedRanges';
  for (const one of readList(stored, path)) {
    checkWholes(one, `${path}[]`);
    const [first = -1, last = -1, ...rest] = one as readonly number[];
    const isRange = first >= 0 && first <= last && rest.length === 0;
    if (!isRange || last >= scheduling.jobRequest.MAX_OCCURRENCES)
      throw createFault(`${path}[]`, one, 'the first and the last number');
  }
}

function checkStep(step: Fields): void {
  if (step['done'] !== 'all') checkWholes(step['done'], 'step.done');
  const failures = readObject(step['failures'], 'step.failures');
  for (const index in failures) {
    checkIndex(index, 'step.failures');
    checkWholes(failures[index], 'step.failures[]');
  }
  checkEvidence(step['evidence']);
  if (step['presumedCrashes'] !== undefined)
    checkWholes(step['presumedCrashes'], 'step.presumedCrashes');
  checkSuspects(step['suspects']);
  if (step['crashes'] === undefined) return;
  const crashes = readObject(step['crashes'], 'step.crashes');
  for (const index in crashes) {
    checkIndex(index, 'step.crashes');
    const workers = readObject(crashes[index], 'step.crashes[]');
    for (const worker in workers) {
      const kind = workers[worker];
      if (kind !== 'single' && kind !== 'group')
        throw createFault('step.crashes[][]', kind, 'single or group');
    }
  }
}

function checkEvidence(stored: unknown): void {
  if (stored === undefined) return;
  const evidence = readObject(stored, 'step.evidence');
  for (const index in evidence) {
    checkIndex(index, 'step.evidence');
    const workers = readObject(evidence[index], 'step.evidence[]');
    for (const worker in workers)
      checkText(workers, 'step.evidence[].', worker);
  }
}

function checkSuspects(stored: unknown): void {
  if (stored === undefined) return;
  const suspects = readObject(stored, 'step.suspects');
  for (const index in suspects) {
    checkIndex(index, 'step.suspects');
    const suspect = readObject(suspects[index], 'step.suspects[]');
    checkTexts(suspect['workers'], 'step.suspects[].workers');
    const {isIsolated} = suspect;
    if (typeof isIsolated !== 'boolean')
      throw createFault(
        'step.suspects[].isIsolated',
        isIsolated,
        'true or false',
      );
  }
}

function checkCrashedWorkers(stored: unknown): void {
  if (stored === undefined) return;
  for (const one of readList(stored, 'progress.crashedWorkers')) {
    const worker = readObject(one, 'progress.crashedWorkers[]');
    checkText(worker, 'progress.crashedWorkers[].', 'id');
    if (worker['bornMs'] !== undefined)
      checkNumber(worker, 'progress.crashedWorkers[].', 'bornMs');
    const {mayHaveLeft} = worker;
    if (typeof mayHaveLeft !== 'boolean')
      throw createFault(
        'progress.crashedWorkers[].mayHaveLeft',
        mayHaveLeft,
        'true or false',
      );
  }
}

/** Throws unless the body is an entry. */
export function checkEntry(body: unknown): storeRecords.EntryRecord {
  const entry = readObject(body, 'entry');
  checkText(entry, '', 'entryId');
  checkText(entry, '', 'domain');
  checkText(entry, '', 'address');
  if (!/^[^\s/]+:\d+$/.test(entry['address'] as string))
    throw createFault('address', entry['address'], 'host:port');
  if (entry['cores'] !== undefined) checkNumber(entry, '', 'cores');
  return entry as unknown as storeRecords.EntryRecord;
}

/** Throws unless the body is a claim. */
export function checkClaim(body: unknown): storeRecords.ClaimRecord {
  const claim = readObject(body, 'claim');
  checkText(claim, '', 'holder');
  checkText(claim, '', 'instance');
  checkNumber(claim, '', 'generation');
  const {state} = claim;
  if (state !== 'held' && state !== 'released')
    throw createFault('state', state, 'held or released');
  if (claim['keepsBoundsSince'] !== undefined)
    checkNumber(claim, '', 'keepsBoundsSince');
  return claim as unknown as storeRecords.ClaimRecord;
}

/** Throws unless the body is a worker. */
export function checkUsedWorker(body: unknown): storeRecords.UsedWorkerRecord {
  const worker = readObject(body, 'worker');
  const info = readObject(worker['info'], 'info');
  for (const name of ['id', 'address', 'domain', 'pool', 'rack'])
    if (typeof info[name] !== 'string')
      throw createFault(`info.${name}`, info[name], 'a string');
  if (info['bornMs'] !== undefined) checkNumber(info, 'info.', 'bornMs');
  checkTexts(info['labels'], 'info.labels');
  const capacity = readObject(info['capacity'], 'info.capacity');
  checkNumber(capacity, 'info.capacity.', 'cpuMillis');
  checkNumber(capacity, 'info.capacity.', 'memoryMb');
  checkNumber(capacity, 'info.capacity.', 'accelerators');
  if (worker['leaseBound'] !== undefined) {
    const bound = readObject(worker['leaseBound'], 'leaseBound');
    checkNumber(bound, 'leaseBound.', 'maxMs');
    checkNumber(bound, 'leaseBound.', 'generation');
  }
  if (worker['pendingBound'] !== undefined) {
    const bound = readObject(worker['pendingBound'], 'pendingBound');
    checkNumber(bound, 'pendingBound.', 'maxMs');
    checkNumber(bound, 'pendingBound.', 'generation');
    checkNumber(bound, 'pendingBound.', 'earlierMs');
  }
  return worker;
}

/**
 * The capacity in a heartbeat. One that can't be understood counts as none: the
 * heartbeat itself shows that its holder is alive.
 */
export function readCapacity(
  body: unknown,
): Extract<storeRecords.StoreRecord, {kind: 'heartbeat'}>['capacity'] {
  const {capacity} = readObject(body, 'heartbeat');
  if (!isObject(capacity)) return undefined;
  const {startsPerSecond, runs} = capacity;
  const isKnown = isAmount(startsPerSecond) && isAmount(runs);
  return isKnown ? {startsPerSecond, runs} : undefined;
}

/**
 * What a heartbeat says of a takeover. One that can't be understood counts as
 * none: a successor then concludes less.
 */
export function readTakeover(
  body: unknown,
): storeRecords.TakeoverState | undefined {
  const {takeover} = readObject(body, 'heartbeat');
  if (!isObject(takeover)) return undefined;
  const {generation, hasMajority, unanswered} = takeover;
  if (typeof generation !== 'number') return undefined;
  const isList =
    Array.isArray(unanswered) &&
    unanswered.every((id) => typeof id === 'string');
  const ids = isList
    ? unanswered.map((id) => types.ids.brand<types.ids.WorkerId>(id))
    : undefined;
  return {generation, hasMajority: hasMajority === true, unanswered: ids};
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readObject(value: unknown, path: string): Fields {
  if (!isObject(value)) throw createFault(path, value, 'an object');
  return value;
}

function readList(value: unknown, path: string): readonly unknown[] {
  if (!Array.isArray(value)) throw createFault(path, value, 'a list');
  return value;
}

function checkText(fields: Fields, prefix: string, name: string): void {
  if (typeof fields[name] !== 'string')
    throw createFault(prefix + name, fields[name], 'a string');
}

function checkOptionalText(fields: Fields, name: string): void {
  if (fields[name] !== undefined) checkText(fields, '', name);
}

function checkNumber(fields: Fields, prefix: string, name: string): void {
  if (!Number.isFinite(fields[name]))
    throw createFault(prefix + name, fields[name], 'a number');
}

function checkTexts(value: unknown, path: string): void {
  for (const one of readList(value, path))
    if (typeof one !== 'string') throw createFault(path, one, 'strings');
}

function checkWholes(value: unknown, path: string): void {
  for (const one of readList(value, path))
    if (!Number.isInteger(one)) throw createFault(path, one, 'whole numbers');
}

function checkIndex(key: string, path: string): void {
  if (!/^\d+$/.test(key)) throw createFault(path, key, 'numbers as keys');
}

function createFault(path: string, value: unknown, remedy: string): Error {
  const shown = String(JSON.stringify(value)).slice(0, MAX_SHOWN_LENGTH);
  return new Error(`${path} = ${shown}: give ${remedy}`);
}
