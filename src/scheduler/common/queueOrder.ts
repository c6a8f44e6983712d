/** Which queued work comes first, and which has to wait for its team's quota or its back-off. */
import {
  type ConfigurationView,
  zonesInUse,
} from '../../platform/configuration/common/configurationView.js';
import { URGENCY_ORDER } from '../../platform/configuration/common/documents.js';
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
} from '../../platform/worker/common/resources.js';
import { BatchTaskState, type WorkRow } from '../../platform/workload/common/workRows.js';

const FIRST_RETRY_MS = 1_000;
const MAXIMUM_RETRY_MS = 60_000;
const SPREAD_STEPS = 7;

/**
 * How long a failed task waits before it is tried again. A job whose tasks all fail at once would
 * otherwise take every free place again in the next round, until its tries are used up within
 * seconds. Doubling bounds the load; the task's index spreads the tasks of one job.
 */
export const retryDelayMs = (failureCount: number, taskIndex: number): number => {
  const delayMs = Math.min(MAXIMUM_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.max(0, failureCount - 1));
  return delayMs * (1 + (taskIndex % SPREAD_STEPS) / SPREAD_STEPS);
};

const hashOf = (text: string): number =>
  [...text].reduce((sum, character) => sum + character.charCodeAt(0), 0);

const share = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

/** The largest share of the cell that a team holds of any one resource. */
export const dominantShare = (used: Resources, capacity: Resources): number =>
  Math.max(
    share(used.processorMillis, capacity.processorMillis),
    share(used.memoryBytes, capacity.memoryBytes),
    share(used.acceleratorCount, capacity.acceleratorCount),
  );

/** What the teams' batch tasks hold in this cell, kept up while a round assigns. */
export class TeamUse {
  readonly #used = new Map<string, Resources>();

  readonly #capacity: Resources;

  readonly #view: ConfigurationView | undefined;

  readonly #cell: string;

  constructor(
    cell: string,
    rows: readonly WorkRow[],
    capacity: Resources,
    view: ConfigurationView | undefined,
  ) {
    this.#cell = cell;
    this.#capacity = capacity;
    this.#view = view;
    rows.forEach((row) => {
      const count = row.tasks.filter(({ state }) => state === BatchTaskState.Assigned).length;
      for (let index = 0; index < count; index += 1) this.take(row.team, row.size);
    });
  }

  take(team: string, size: Resources): void {
    this.#used.set(team, addResources(this.#of(team), size));
  }

  dominantShare(team: string): number {
    return dominantShare(this.#of(team), this.#capacity);
  }

  /**
   * False when one more task would exceed the team's quota. Each cell holds an equal part of the
   * quota, the remainder by a turn that differs from team to team, worked out from the configuration alone, so that no start costs a write to a shared
   * counter and no two cells together exceed it. What one cell leaves unused is not lent to
   * another; a withdrawn zone's part goes to the others as soon as they read of it.
   */
  isWithinQuota(team: string, size: Resources): boolean {
    const limit = this.#view?.quotas.get(team)?.limit;
    if (limit === undefined || this.#view === undefined) return true;
    const zones = zonesInUse(this.#view);
    const place = (zones.indexOf(this.#cell) + hashOf(team)) % Math.max(1, zones.length);
    const partOf = (amount: number): number =>
      Math.floor(amount / zones.length) + (place < amount % zones.length ? 1 : 0);
    const part = {
      processorMillis: partOf(limit.processorMillis),
      memoryBytes: partOf(limit.memoryBytes),
      acceleratorCount: partOf(limit.acceleratorCount),
    };
    return fitsInto(addResources(this.#of(team), size), part);
  }

  #of(team: string): Resources {
    return this.#used.get(team) ?? NO_RESOURCES;
  }
}

/** The urgent first; among equals the team that holds least; then as submitted. */
export const orderedShards = (rows: readonly WorkRow[], use: TeamUse): readonly WorkRow[] =>
  rows
    .map((row) => ({ row, teamShare: use.dominantShare(row.team) }))
    .sort(
      (left, right) =>
        URGENCY_ORDER[left.row.urgency] - URGENCY_ORDER[right.row.urgency] ||
        left.teamShare - right.teamShare,
    )
    .map(({ row }) => row);
