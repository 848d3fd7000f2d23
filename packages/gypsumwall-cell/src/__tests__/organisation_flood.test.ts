import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as roomAdmissions from '../room_admission.js';
import type * as roomReading from '../room_reading.js';
import * as waitingWork from '../waiting_work.js';

const {test} = nodeTest;
const ORGANISATIONS = 20;
/** Jobs a second of the largest organisation, and of each other one. */
const LARGEST_RATE = 25;
const OTHER_RATE = 4;
const FLOOD_FACTOR = 7.5;
const FLOOD_FROM_MS = 5_000;
const FLOOD_UNTIL_MS = 15_000;
const END_MS = 30_000;
const STEP_MS = 50;
/** A job holds a core for a second: usually 101 cores are in use. */
const CORES = 120;
const REQUEST = worlds.request(1);
const POLICY = {...worlds.POLICY, slackFactor: 1.5, targetMs: 250};
const LIMITS = waitingWork.startLimits(POLICY, REQUEST);
const FLOODER = 0;
const MAX_RETRIES = 4;

interface WaitingJob {
  readonly organisation: number;
  readonly isExcess: boolean;
  readonly sentAt: number;
  readonly retriesLeft: number;
}

interface Outcome {
  /** Share of the jobs of the others that were on time. */
  readonly onTimeShare: number;
  /** The most jobs that waited at a time. */
  readonly mostWaiting: number;
  readonly refused: number;
}

const rateOf = (organisation: number) =>
  organisation === FLOODER ? LARGEST_RATE : OTHER_RATE;

/** Plays a full cell as a queue in front of cores that are refilled steadily. */
function play(floodFactor: number, isAdmitting: boolean): Outcome {
  let now = 0 as types.clock.MonotonicMs;
  const clock = {
    ...types.clock.createSystemClock(),
    monotonic: () => now,
    wall: () => now as number as types.clock.WallMs,
  };
  const ids = Array.from({length: ORGANISATIONS}, (_, nth) =>
    types.ids.brand<types.ids.OrganisationId>(`o${nth}`),
  );
  const configured: organisations.organisation.Organisations = new Map(
    ids.map((id, nth) => {
      const {UNLIMITED: quota} = organisations.organisation;
      return [id, {id, keyHashes: [], weight: 1.9 * rateOf(nth), quota}];
    }),
  );
  const meter = organisations.arrivalMeter.createArrivalMeter();
  meter.setOrganisations(configured);
  let rooms: roomReading.DatedReadings | undefined;
  const admission = roomAdmissions.createRoomAdmission({
    rooms: () => rooms,
    organisations: () => configured,
    clock,
    random: types.random.createRandom(1),
  });
  const waiting: WaitingJob[] = [];
  let freeCores = CORES;
  const ends: number[] = [];
  const retries: {readonly at: number; readonly job: WaitingJob}[] = [];
  const sent = new Array<number>(ORGANISATIONS).fill(0);
  let [onTime, others, refused, mostWaiting] = [0, 0, 0, 0];

  function offer(job: WaitingJob): void {
    const id = ids[job.organisation];
    const refusal = isAdmitting
      ? admission.check(POLICY, REQUEST, id)
      : undefined;
    if (refusal !== undefined) {
      refused++;
      const retriesLeft = job.retriesLeft - 1;
      if (retriesLeft < 0) return;
      const at = now + refusal.retryAfterMs;
      retries.push({at, job: {...job, retriesLeft}});
      return;
    }
    waiting.push({...job, isExcess: meter.exceedsRate(id, now)});
    admission.onAccepted({
      id: types.ids.brand('job'),
      queue: POLICY.queue,
      organisation: id,
      record: {
        request: REQUEST,
        policy: POLICY,
        acceptedAt: now as number as types.clock.WallMs,
      },
      progress: {phase: 'queued', workers: [], occurrences: {}, finished: []},
    });
  }

  function sendNew(): void {
    for (let nth = 0; nth < ORGANISATIONS; nth++) {
      const isFlooding =
        nth === FLOODER && now >= FLOOD_FROM_MS && now < FLOOD_UNTIL_MS;
      const factor = isFlooding ? floodFactor : 1;
      sent[nth]! += (rateOf(nth) * factor * STEP_MS) / 1_000;
      while (sent[nth]! >= 1) {
        sent[nth]!--;
        if (nth !== FLOODER) others++;
        offer({
          organisation: nth,
          isExcess: false,
          sentAt: now,
          retriesLeft: MAX_RETRIES,
        });
      }
    }
  }

  function startWaiting(): void {
    const isLate = ({sentAt}: WaitingJob) => now - sentAt > LIMITS.onTimeMs;
    waiting.sort(
      (a, b) =>
        Number(a.isExcess) - Number(b.isExcess) ||
        Number(isLate(a)) - Number(isLate(b)) ||
        a.sentAt - b.sentAt,
    );
    const started = waiting.splice(0, freeCores);
    freeCores -= started.length;
    for (const job of started) {
      ends.push(now + 1_000);
      if (job.organisation !== FLOODER && !isLate(job)) onTime++;
    }
  }

  function read(): void {
    const coreMsOf = (isExcess: boolean, isLate: boolean) =>
      1_000 *
      waiting.filter(
        (job) =>
          job.isExcess === isExcess &&
          now - job.sentAt > LIMITS.onTimeMs === isLate,
      ).length;
    const rows = [false, true].map((isExcess): roomReading.RankReading => ({
      pool: POLICY.pool,
      priority: 0,
      isExcess,
      onTimeCoreMs: coreMsOf(isExcess, false),
      lateCoreMs: coreMsOf(isExcess, true),
      arrivingCoreMsPerMs: isExcess ? 0 : OTHER_RATE * (ORGANISATIONS - 1),
    }));
    const reading = {
      pool: POLICY.pool,
      cpuMillis: CORES * 1_000,
      usedCpuMillis: CORES * 1_000,
      startedCoreMsPerMs: CORES,
      ranks: rows,
    };
    const isFull = waiting.length > 0;
    rooms = isFull ? {readings: [reading], readAt: now} : undefined;
  }

  for (; now < END_MS; now = types.clock.after(now, STEP_MS)) {
    while (ends[0] !== undefined && ends[0] <= now) {
      ends.shift();
      freeCores++;
    }
    const due = retries.filter(({at}) => at <= now);
    for (const retry of due) retries.splice(retries.indexOf(retry), 1);
    for (const {job} of due) offer(job);
    sendNew();
    startWaiting();
    mostWaiting = Math.max(mostWaiting, waiting.length);
    if (now % 1_000 === 0) read();
  }
  return {onTimeShare: onTime / others, mostWaiting, refused};
}

// Guards against a flood of one organisation, and its retries, at the expense
// of the others, and against work that is accepted and never served in time.
test('a flood of one organisation costs the other 19 nothing', () => {
  const usual = play(1, true);
  const flooded = play(FLOOD_FACTOR, true);
  assert.ok(
    Math.abs(usual.onTimeShare - flooded.onTimeShare) <= 0.02,
    `${usual.onTimeShare} and ${flooded.onTimeShare}`,
  );
  assert.equal(usual.refused, 0);
  assert.ok(flooded.refused > 0);
  // What is accepted starts while it is of use, by a forecast with a margin and
  // readings that are up to a second old.
  const left = CORES - OTHER_RATE * (ORGANISATIONS - 1);
  const useful = (left * LIMITS.usefulMs * 1.5) / 1_000;
  const unread = LARGEST_RATE * FLOOD_FACTOR;
  assert.ok(flooded.mostWaiting <= useful + unread, `${flooded.mostWaiting}`);
  const unbounded = play(FLOOD_FACTOR, false);
  assert.ok(unbounded.mostWaiting > 2 * flooded.mostWaiting);
});
