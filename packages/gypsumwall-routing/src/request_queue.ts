/**
 * Requests that wait for a slot: shared out fairly over teams by weight, and
 * within a team the most urgent first, then the one that must start first.
 */
import type * as types from '@gypsumwall/types';
import type * as queuedRequest from './queued_request.js';
import * as teamQueue from './team_queue.js';
import * as workRate from './work_rate.js';

/** All waiting requests of an entry. */
export interface RequestQueue {
  readonly size: number;
  /** Expected slot time of all that waits. */
  readonly workMs: number;
  /** The queue of a team; made on first use. */
  ofTeam(team: types.ids.TeamId): teamQueue.TeamQueue;
  push(queued: queuedRequest.QueuedRequest, now: types.clock.MonotonicMs): void;
  /** The one to be served next; it stays in the queue. */
  peek(): queuedRequest.QueuedRequest | undefined;
  /** Takes out the one to be served and charges its team for it. */
  serve(queued: queuedRequest.QueuedRequest): void;
  /** Takes out one that will not be served; false when it isn't in there. */
  remove(queued: queuedRequest.QueuedRequest): boolean;
  /** Charges or credits a team by how far off an expected time was. */
  correct(team: types.ids.TeamId, weight: number, offMs: number): void;
  /** Slots that the requests of other teams, as they come in, keep busy. */
  slotsWantedByOthers(
    team: types.ids.TeamId,
    now: types.clock.MonotonicMs,
  ): number;
  /** Share of all service that falls to a team of this weight now. */
  fairShare(team: types.ids.TeamId, weight: number): number;
}

/**
 * Slot time that a team which used less than its share may catch up on. With
 * none, its requests in a burst take turns with those of teams that always
 * wait; with much, others would wait for it for long.
 */
const CATCH_UP_MS = 1_000;

/**
 * Makes an empty queue. Fairness is start-time fair queueing: each team has a
 * virtual time that moves on by the slot time it uses over its weight, and
 * the team furthest behind is served next. A team that was idle comes in a
 * little behind those that were not, so that it can't save up much.
 */
export function createRequestQueue(): RequestQueue {
  const teams = new Map<types.ids.TeamId, teamQueue.TeamQueue>();
  const backlogged = new Set<teamQueue.TeamQueue>();
  let virtualTime = 0;
  const arrivals = workRate.createWorkRate();
  let size = 0;
  let workMs = 0;

  const ofTeam = (team: types.ids.TeamId) => {
    const known = teams.get(team);
    if (known !== undefined) return known;
    const made = teamQueue.createTeamQueue(team);
    teams.set(team, made);
    return made;
  };
  const next = () => {
    let first: teamQueue.TeamQueue | undefined;
    for (const team of backlogged) {
      if (first === undefined || team.virtualTime < first.virtualTime) {
        first = team;
      }
    }
    return first;
  };
  const remove = (queued: queuedRequest.QueuedRequest) => {
    const team = ofTeam(queued.req.team);
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
    ofTeam,
    push: (queued, now) => {
      const team = ofTeam(queued.req.team);
      if (team.size === 0) {
        team.virtualTime = Math.max(
          team.virtualTime,
          virtualTime - CATCH_UP_MS / queued.weight,
        );
        backlogged.add(team);
      }
      team.weight = queued.weight;
      team.push(queued, now);
      arrivals.add(queued.typicalMs, now);
      size += 1;
      workMs += queued.typicalMs;
    },
    peek: () => next()?.first(),
    serve: (queued) => {
      const team = ofTeam(queued.req.team);
      virtualTime = Math.max(virtualTime, team.virtualTime);
      team.virtualTime += queued.typicalMs / queued.weight;
      remove(queued);
    },
    remove,
    correct: (team, weight, offMs) => {
      ofTeam(team).virtualTime += offMs / weight;
    },
    slotsWantedByOthers: (team, now) =>
      Math.max(0, arrivals.slots(now) - ofTeam(team).slotsWanted(now)),
    fairShare: (team, weight) => {
      let others = 0;
      for (const one of backlogged) {
        if (one.id !== team) others += one.weight;
      }
      return weight / (weight + others);
    },
  };
}
