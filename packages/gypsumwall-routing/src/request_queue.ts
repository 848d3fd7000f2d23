/**
 * Requests that wait for a slot. Slots are shared among teams by weight. Within
 * a team the most urgent request is served first and, among equally urgent
 * ones, the one with the earliest latest start.
 */
import type * as types from '@gypsumwall/types';
import type * as queuedRequest from './queued_request.js';
import * as teamQueue from './team_queue.js';
import * as workRate from './work_rate.js';

/** The waiting requests of an entry. */
export interface RequestQueue {
  readonly size: number;
  /** The expected slot time of all waiting requests. */
  readonly workMs: number;
  /** Returns the queue of a team; it is created on first use. */
  teamQueueOf(team: types.ids.TeamId): teamQueue.TeamQueue;
  push(queued: queuedRequest.QueuedRequest, now: types.clock.MonotonicMs): void;
  /** Returns the request to serve next, without removing it. */
  peek(): queuedRequest.QueuedRequest | undefined;
  /** Removes a request that is served and charges its team for it. */
  serve(queued: queuedRequest.QueuedRequest): void;
  /**
   * Removes a request that won't be served; returns false if it isn't queued.
   */
  remove(queued: queuedRequest.QueuedRequest): boolean;
  /** Charges a team the difference between actual and expected slot time. */
  adjustCharge(
    team: types.ids.TeamId,
    weight: number,
    differenceMs: number,
  ): void;
  /**
   * The number of slots that other teams' requests need at their recent rate.
   */
  slotDemandOfOthers(
    team: types.ids.TeamId,
    now: types.clock.MonotonicMs,
  ): number;
  /** The fair share of a team among the teams with waiting requests. */
  fairShare(team: types.ids.TeamId, weight: number): number;
}

/**
 * The slot time that a team may catch up after it used less than its share.
 * With 0, a burst of its requests would take turns with the requests of teams
 * that always have some waiting. With a high value, the others would wait for
 * long.
 */
const MAX_CATCH_UP_MS = 1_000;

/**
 * Creates an empty queue with start-time fair queueing. Each team has a virtual
 * time that advances by the slot time used divided by the team's weight, and
 * the team with the lowest virtual time is served next. The virtual time of a
 * team that was idle is set to at most `MAX_CATCH_UP_MS` over its weight behind
 * that of the queue, so that an idle team can't accumulate much.
 */
export function createRequestQueue(): RequestQueue {
  const teams = new Map<types.ids.TeamId, teamQueue.TeamQueue>();
  const backlogged = new Set<teamQueue.TeamQueue>();
  let virtualTime = 0;
  const arrivals = workRate.createWorkRate();
  let size = 0;
  let workMs = 0;

  const teamQueueOf = (team: types.ids.TeamId) => {
    const existing = teams.get(team);
    if (existing !== undefined) return existing;
    const created = teamQueue.createTeamQueue(team);
    teams.set(team, created);
    return created;
  };
  const nextTeam = () => {
    let first: teamQueue.TeamQueue | undefined;
    for (const team of backlogged) {
      if (first === undefined || team.virtualTime < first.virtualTime) {
        first = team;
      }
    }
    return first;
  };
  const remove = (queued: queuedRequest.QueuedRequest) => {
    const team = teamQueueOf(queued.req.team);
    if (!team.remove(queued)) return false;
    size -= 1;
    workMs = size === 0 ? 0 : workMs - queued.typicalMs;
    if (team.size === 0) backlogged.delete(team);
    return true;
  };

  return {
    get size() {
      return size;
    },
    get workMs() {
      return workMs;
    },
    teamQueueOf,
    push: (queued, now) => {
      const team = teamQueueOf(queued.req.team);
      if (team.size === 0) {
        team.virtualTime = Math.max(
          team.virtualTime,
          virtualTime - MAX_CATCH_UP_MS / queued.weight,
        );
        backlogged.add(team);
      }
      team.weight = queued.weight;
      team.push(queued, now);
      arrivals.add(queued.typicalMs, now);
      size += 1;
      workMs += queued.typicalMs;
    },
    peek: () => nextTeam()?.first(),
    serve: (queued) => {
      const team = teamQueueOf(queued.req.team);
      virtualTime = Math.max(virtualTime, team.virtualTime);
      team.virtualTime += queued.typicalMs / queued.weight;
      remove(queued);
    },
    remove,
    adjustCharge: (team, weight, differenceMs) => {
      teamQueueOf(team).virtualTime += differenceMs / weight;
    },
    slotDemandOfOthers: (team, now) =>
      Math.max(0, arrivals.slots(now) - teamQueueOf(team).slotDemand(now)),
    fairShare: (team, weight) => {
      let otherWeights = 0;
      for (const one of backlogged) {
        if (one.id !== team) otherWeights += one.weight;
      }
      return weight / (weight + otherWeights);
    },
  };
}
