/** Orders queued work, and holds back work that exceeds its team's quota or that is in backoff. */
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
 * How long a failed task waits before its next attempt. Without the delay, a job whose tasks all
 * fail at once would take all free capacity again in the next round and use up its attempts within
 * seconds. Doubling the delay bounds the load. The task index spreads the retries of one job's
 * tasks.
 */
export const retryDelayMs = (failureCount: number, taskIndex: number): number => {
  const delayMs = Math.min(
    MAXIMUM_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** Math.max(0, failureCount - 1),
  );
  return delayMs * (1 + (taskIndex % RETRY_SPREAD_STEPS) / RETRY_SPREAD_STEPS);
};

const share = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

/** The team's dominant share: its largest share of any one resource of the cell. */
export const dominantShare = (used: Resources, capacity: Resources): number =>
  Math.max(
    share(used.processorMillis, capacity.processorMillis),
    share(used.memoryBytes, capacity.memoryBytes),
    share(used.acceleratorCount, capacity.acceleratorCount),
  );

/** What each team's batch tasks use in this cell, updated while a round assigns tasks. */
export class TeamUsage {
  readonly #used = new Map<string, Resources>();

  readonly #capacity: Resources;

  readonly #parts: QuotaParts;

  /** Teams with a queued task that is larger than the cell's equal part of the team's quota. */
  readonly #teamsWithLargeTaskWaiting = new Set<string>();

  /** `rows` are all shards of the cell, because the running tasks of a cancelled job count too. */
  constructor(
    rows: readonly WorkRow[],
    capacity: Resources,
    parts: QuotaParts,
    oversizedShardIds: ReadonlySet<string>,
  ) {
    this.#capacity = capacity;
    this.#parts = parts;
    rows.forEach((row) => {
      const assignedCount = row.tasks.filter(
        ({ state }) => state === BatchTaskState.Assigned,
      ).length;
      if (assignedCount > 0) this.add(row.team, multipliedResources(row.size, assignedCount));
      const isWaiting = row.tasks.some(({ state }) => state === BatchTaskState.Queued);
      if (
        isWaiting &&
        !oversizedShardIds.has(row.shardId) &&
        this.#isLargerThanPart(row.team, row.size)
      ) {
        this.#teamsWithLargeTaskWaiting.add(row.team);
      }
    });
  }

  get teams(): readonly string[] {
    return [...new Set([...this.#used.keys(), ...this.#teamsWithLargeTaskWaiting])];
  }

  add(team: string, size: Resources): void {
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
   * Whether one more task of this size stays within the cell's part of the team's quota. Amounts
   * that other cells have ceded are for tasks larger than the cell's own part. While such a task
   * waits for ceded amounts, the team's small tasks wait too, because they would use up what the
   * other cells give up.
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

/**
 * Sorts urgent shards first, then those of teams with the lowest dominant share, then by
 * submission.
 */
export const orderedShards = (rows: readonly WorkRow[], usage: TeamUsage): readonly WorkRow[] =>
  rows
    .map((row) => ({ row, teamShare: usage.dominantShare(row.team) }))
    .sort(
      (left, right) =>
        URGENCY_ORDER[left.row.urgency] - URGENCY_ORDER[right.row.urgency] ||
        left.teamShare - right.teamShare,
    )
    .map(({ row }) => row);
