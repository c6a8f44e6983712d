/** Which queued work comes first, and which has to wait for its team's quota or its back-off. */
import { URGENCY_ORDER } from '../../services/configuration/common/documents.js';
import {
  addResources,
  fitsInto,
  multipliedResources,
  NO_RESOURCES,
  type Resources,
} from '../../services/worker/common/resources.js';
import { BatchTaskState, type WorkRow } from '../../services/workload/common/workRows.js';
import type { QuotaParts } from './quotaParts.js';

const INITIAL_RETRY_DELAY_MS = 1_000;
const MAXIMUM_RETRY_DELAY_MS = 60_000;
const RETRY_SPREAD_STEPS = 7;

/**
 * How long a failed task waits before it is tried again. A job whose tasks all fail at once would
 * otherwise take every free place again in the next round, until its tries are used up within
 * seconds. Doubling bounds the load; the task's index spreads the tasks of one job.
 */
export const retryDelayMs = (failureCount: number, taskIndex: number): number => {
  const delayMs = Math.min(
    MAXIMUM_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** Math.max(0, failureCount - 1),
  );
  return delayMs * (1 + (taskIndex % RETRY_SPREAD_STEPS) / RETRY_SPREAD_STEPS);
};

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

  readonly #parts: QuotaParts;

  /** Teams of which a task waits that is larger than the cell's equal part. */
  readonly #teamsWithLargeTaskWaiting = new Set<string>();

  /** `rows` are all shards of the cell: also a cancelled job holds what still runs. */
  constructor(
    rows: readonly WorkRow[],
    capacity: Resources,
    parts: QuotaParts,
    unfitShardIds: ReadonlySet<string>,
  ) {
    this.#capacity = capacity;
    this.#parts = parts;
    rows.forEach((row) => {
      const assignedCount = row.tasks.filter(
        ({ state }) => state === BatchTaskState.Assigned,
      ).length;
      if (assignedCount > 0) this.take(row.team, multipliedResources(row.size, assignedCount));
      const isWaiting = row.tasks.some(({ state }) => state === BatchTaskState.Queued);
      if (
        isWaiting &&
        !unfitShardIds.has(row.shardId) &&
        this.#isLargerThanPart(row.team, row.size)
      ) {
        this.#teamsWithLargeTaskWaiting.add(row.team);
      }
    });
  }

  get teams(): readonly string[] {
    return [...new Set([...this.#used.keys(), ...this.#teamsWithLargeTaskWaiting])];
  }

  take(team: string, size: Resources): void {
    this.#used.set(team, addResources(this.used(team), size));
  }

  used(team: string): Resources {
    return this.#used.get(team) ?? NO_RESOURCES;
  }

  hasLargeTaskWaiting(team: string): boolean {
    return this.#teamsWithLargeTaskWaiting.has(team);
  }

  dominantShare(team: string): number {
    return dominantShare(this.used(team), this.#capacity);
  }

  /**
   * False when one more task would exceed the cell's part of the team's quota. What other cells
   * have ceded is for tasks larger than the cell's own part; while one of these waits for it the
   * team's small ones wait too, for they would use up again what the others give up.
   */
  isWithinQuota(team: string, size: Resources): boolean {
    if (this.#parts.limit(team) === undefined) return true;
    const isLarge = this.#isLargerThanPart(team, size);
    if (!isLarge && this.#parts.hasAsked(team) && this.hasLargeTaskWaiting(team)) return false;
    const part = isLarge ? this.#parts.part(team) : this.#parts.ownPart(team);
    return fitsInto(addResources(this.used(team), size), part);
  }

  #isLargerThanPart(team: string, size: Resources): boolean {
    const limit = this.#parts.limit(team);
    if (limit === undefined || !fitsInto(size, limit)) return false;
    return !fitsInto(size, this.#parts.equalPart(team));
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
