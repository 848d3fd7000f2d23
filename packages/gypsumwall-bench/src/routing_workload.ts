/**
 * Generates quick requests modelled on two users: each operation has its own
 * urgency and deadline, service times and interarrival times are heavy-tailed,
 * and declared service times are off by up to a factor of four.
 */
import type * as routing from '@gypsumwall/routing';
import * as types from '@gypsumwall/types';

/** A kind of quick request. */
interface Operation {
  readonly team: string;
  readonly name: string;
  readonly urgency: types.job.Urgency;
  readonly idempotent: boolean;
  readonly meanMs: number;
  readonly deadlineMs: number;
  /** Share of all requests. */
  readonly share: number;
}

const OPERATIONS: readonly Operation[] = [
  {
    team: 'skyroute-counter',
    name: 'airspace-check',
    urgency: 'urgent',
    idempotent: true,
    meanMs: 20,
    deadlineMs: 1_000,
    share: 0.5,
  },
  {
    team: 'skyroute-counter',
    name: 'file-plan',
    urgency: 'urgent',
    idempotent: false,
    meanMs: 40,
    deadlineMs: 2_000,
    share: 0.1,
  },
  {
    team: 'skyroute-clubs',
    name: 'route-preview',
    urgency: 'normal',
    idempotent: true,
    meanMs: 60,
    deadlineMs: 3_000,
    share: 0.2,
  },
  {
    team: 'skyroute-clubs',
    name: 'letter-check',
    urgency: 'overnight',
    idempotent: true,
    meanMs: 100,
    deadlineMs: 8_000,
    share: 0.2,
  },
];

/** Mean slot time of a request over all operations. */
export const MEAN_SERVICE_MS = OPERATIONS.reduce(
  (sum, each) => sum + each.share * each.meanMs,
  0,
);

/**
 * A request with its arrival time and its actual service time, which the router
 * does not know.
 */
export interface WorkloadRequest {
  readonly at: number;
  readonly serviceMs: number;
  readonly req: routing.router.RoutedRequest;
}

/** Parameters of a generated workload. */
export interface WorkloadOptions {
  readonly random: types.random.Random;
  /** Mean requests per second, without the flood. */
  readonly perSecond: number;
  /** Factor by which the flooding team increases its request rate. */
  readonly floodFactor: number;
  /** Number of teams into which each team is split. */
  readonly teamSplit: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The team whose demand rises unexpectedly. */
const FLOODING_TEAM = 'skyroute-clubs';
const MAX_ESTIMATE_FACTOR = 4;
/**
 * Standard deviation of the logarithm; the largest of a thousand is about 13
 * times the mean.
 */
const SERVICE_SIGMA = 0.9;
const GAP_SIGMA = 1.2;

/** Generates the requests of one run, in order of arrival. */
export function makeWorkload(options: WorkloadOptions): WorkloadRequest[] {
  const {random} = options;
  // Ratio of the declared to the mean service time of each operation, constant
  // for the whole run.
  const biases = OPERATIONS.map(
    () => MAX_ESTIMATE_FACTOR ** (2 * random.next() - 1),
  );
  const shares = OPERATIONS.map((each) =>
    each.team === FLOODING_TEAM ? each.share * options.floodFactor : each.share,
  );
  const allShares = shares.reduce((sum, share) => sum + share, 0);
  const meanGapMs = 1_000 / (options.perSecond * allShares);
  const requests: WorkloadRequest[] = [];
  let at = options.fromMs;
  for (;;) {
    at += drawLogNormal(random, meanGapMs, GAP_SIGMA);
    if (at >= options.untilMs) return requests;
    const index = pickIndex(shares, random.next() * allShares);
    const operation = OPERATIONS[index];
    if (operation === undefined) continue;
    const serviceMs = drawLogNormal(random, operation.meanMs, SERVICE_SIGMA);
    const estimateMs = operation.meanMs * (biases[index] ?? 1);
    const id = `r${requests.length}`;
    const teamPart =
      options.teamSplit > 1 ? random.integer(1, options.teamSplit) : 0;
    requests.push({
      at,
      serviceMs,
      req: makeRequest(operation, id, at, estimateMs, teamPart),
    });
  }
}

function makeRequest(
  operation: Operation,
  requestId: string,
  at: number,
  estimateMs: number,
  teamPart: number,
): routing.router.RoutedRequest {
  return {
    requestId,
    team: types.ids.brand<types.ids.TeamId>(
      teamPart === 0 ? operation.team : `${operation.team}-${teamPart}`,
    ),
    operation: operation.name,
    urgency: operation.urgency,
    idempotent: operation.idempotent,
    estimateMs,
    body: NO_BODY,
    deadline: (at + operation.deadlineMs) as types.clock.MonotonicMs,
  };
}

const NO_BODY = new Uint8Array();

/** Returns the index of the share into which the drawn number falls. */
function pickIndex(shares: readonly number[], drawn: number): number {
  let sum = 0;
  for (const [index, share] of shares.entries()) {
    sum += share;
    if (drawn < sum) return index;
  }
  return shares.length - 1;
}

/**
 * Draws from a log-normal distribution with the given mean (Box-Muller
 * transform).
 */
function drawLogNormal(
  random: types.random.Random,
  mean: number,
  sigma: number,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
