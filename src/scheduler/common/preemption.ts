/** Makes room for urgent work on full workers by evicting the least that is less urgent. */
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
 * Evictions that may be under way for urgent work in a cell at a time. A burst of urgent jobs
 * would otherwise clear the cell of batch work at once, most of which could have gone on.
 */
const MAXIMUM_PENDING_EVICTIONS = 32;

/** The progress that an eviction loses; tasks of one size cost the same to restart. */
export type LostWork = (assignment: Assignment) => number;

interface WorkerRoom {
  /** What is free, and what will be once the evictions asked for have ended. */
  expectedFree: Resources;
  readonly victims: readonly Assignment[];
}

/**
 * Made for a full cell in which an urgent task has to start within 3.5 s and no batch task ends
 * by itself that soon. Rounds repeat while the evictions are under way, so what was asked for
 * before is counted first: asking again each round would evict many times what is needed.
 */
export class PreemptionPlan {
  readonly #rooms = new Map<string, WorkerRoom>();

  readonly #chosen = new Set<string>();

  #pendingEvictionCount: number;

  /** `preempted` holds the attempts that were chosen before and still stand in the ledger. */
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

  /** Attempts to evict, as keys. */
  get chosen(): ReadonlySet<string> {
    return this.#chosen;
  }

  /** Finds room for one urgent task, on the worker where the fewest tasks have to go for it. */
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

  /** Zero for what may not be evicted for urgent work, else higher for the less urgent. */
  static #rank(rows: CellRows, assignment: Assignment): number {
    if (assignment.taskClass === TaskClass.LatencyCritical) return 0;
    const urgency = rows.work.get(assignment.shardId)?.urgency ?? Urgency.Urgent;
    return URGENCY_ORDER[urgency];
  }

  /** The least urgent first, then the largest, of which fewer are needed; equal ones by cost. */
  static #compare(rows: CellRows, left: Assignment, right: Assignment): number {
    return (
      PreemptionPlan.#rank(rows, right) - PreemptionPlan.#rank(rows, left) ||
      right.size.processorMillis - left.size.processorMillis
    );
  }
}
