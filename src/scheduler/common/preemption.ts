/** Makes room for urgent work on full workers by evicting as few less urgent tasks as possible. */
import { Urgency, URGENCY_ORDER } from '../../services/configuration/common/documents.js';
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
} from '../../services/worker/common/resources.js';
import { TaskClass } from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';
import { assignmentsOf, type CellRows } from './cellRows.js';
import type { PlacementCandidate } from './placement.js';
import { attemptKey } from './workerView.js';

/**
 * Evictions for urgent work that may be pending in a cell at a time. Without the limit, a burst of
 * urgent jobs would evict all batch work of the cell at once, although most of it could have
 * continued.
 */
const MAXIMUM_PENDING_EVICTIONS = 32;

/**
 * The progress in milliseconds that evicting the task loses. Tasks of equal size cost the same to
 * restart.
 */
export type LostWork = (assignment: Assignment) => number;

interface WorkerRoom {
  /** What is free now plus what the pending evictions will free. */
  expectedFree: Resources;
  readonly victims: readonly Assignment[];
}

/**
 * Plans evictions for a full cell in which an urgent task has to start within 3.5 s and no batch
 * task ends by itself that soon. Rounds repeat while evictions are pending, so the plan first
 * counts what the pending ones will free. Requesting evictions anew in each round would evict many
 * times what is needed.
 */
export class PreemptionPlan {
  readonly #rooms = new Map<string, WorkerRoom>();

  readonly #chosen = new Set<string>();

  #pendingEvictionCount: number;

  /** `preempted` holds the keys of attempts that were chosen before and are still in the ledger. */
  constructor(
    candidates: readonly PlacementCandidate[],
    rows: CellRows,
    preempted: ReadonlySet<string>,
    lostWorkMs: LostWork = () => 0,
  ) {
    this.#pendingEvictionCount = preempted.size;
    candidates.forEach(({ workerId, free }) => {
      const assignments = assignmentsOf(rows, workerId);
      const isLeaving = (one: Assignment): boolean => preempted.has(attemptKey(one));
      this.#rooms.set(workerId, {
        expectedFree: assignments
          .filter(isLeaving)
          .reduce((sum, { size }) => addResources(sum, size), free),
        victims: assignments
          .filter((one) => !isLeaving(one) && PreemptionPlan.#rank(rows, one) > 0)
          .sort(
            (left, right) =>
              PreemptionPlan.#compare(rows, left, right) || lostWorkMs(left) - lostWorkMs(right),
          ),
      });
    });
  }

  /** Keys of the attempts to evict. */
  get chosen(): ReadonlySet<string> {
    return this.#chosen;
  }

  /** Makes room for one urgent task on the worker that needs the fewest evictions for it. */
  makeRoom(size: Resources): void {
    let bestId: string | undefined;
    let best: readonly Assignment[] | undefined;
    this.#rooms.forEach((room, workerId) => {
      const needed = PreemptionPlan.#neededVictims(room, size, this.#chosen);
      if (needed === undefined || (best !== undefined && needed.length >= best.length)) return;
      best = needed;
      bestId = workerId;
    });
    const room = bestId === undefined ? undefined : this.#rooms.get(bestId);
    if (room === undefined || best === undefined) return;
    if (this.#pendingEvictionCount + best.length > MAXIMUM_PENDING_EVICTIONS) return;
    this.#pendingEvictionCount += best.length;
    best.forEach((one) => this.#chosen.add(attemptKey(one)));
    const freed = best.reduce((sum, one) => addResources(sum, one.size), room.expectedFree);
    room.expectedFree = subtractResources(freed, size);
  }

  static #neededVictims(
    room: WorkerRoom,
    size: Resources,
    chosen: ReadonlySet<string>,
  ): readonly Assignment[] | undefined {
    let free = room.expectedFree;
    const needed: Assignment[] = [];
    for (let index = 0; !fitsInto(size, free); index += 1) {
      const victim = room.victims[index];
      if (victim === undefined) return undefined;
      if (!chosen.has(attemptKey(victim))) {
        needed.push(victim);
        free = addResources(free, victim.size);
      }
    }
    return needed;
  }

  /** Zero for a task that urgent work must not evict; otherwise higher for less urgent tasks. */
  static #rank(rows: CellRows, assignment: Assignment): number {
    if (assignment.taskClass === TaskClass.LatencyCritical) return 0;
    const urgency = rows.work.get(assignment.shardId)?.urgency ?? Urgency.Urgent;
    return URGENCY_ORDER[urgency];
  }

  /**
   * Sorts the least urgent tasks first and larger ones before smaller ones, since fewer are needed.
   * The caller orders equal ones by lost work.
   */
  static #compare(rows: CellRows, left: Assignment, right: Assignment): number {
    return (
      PreemptionPlan.#rank(rows, right) - PreemptionPlan.#rank(rows, left) ||
      right.size.processorMillis - left.size.processorMillis
    );
  }
}
