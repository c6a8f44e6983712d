/** Tracks the free capacity of the cell's workers while a round assigns tasks. */
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
  sumResources,
} from '../../services/worker/common/resources.js';
import { WorkerTaskState } from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import { assignmentsOf, type CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { ledgerChange } from './invariants.js';
import type { PlacementCandidate, PlacementRequest } from './placement.js';
import { isWorkerDraining } from './wantedEvictions.js';
import { attemptKey, hasRecentReport, type WorkerView } from './workerView.js';
import { openShare } from './zoneReturn.js';

interface UsageCacheEntry {
  readonly tasks: WorkerView['tasks'];
  readonly used: Resources;
}

const usageCache = new WeakMap<readonly Assignment[], UsageCacheEntry>();

/**
 * Resources of the worker's ledger assignments and of tasks that run there without an assignment.
 */
const usedResourcesOn = (view: WorkerView, assignments: readonly Assignment[]): Resources => {
  const cached = usageCache.get(assignments);
  if (cached?.tasks === view.tasks) return cached.used;
  const ledgerKeys = new Set(assignments.map(attemptKey));
  const untrackedTasks = [...view.tasks.values()].filter(
    (task) => task.state === WorkerTaskState.Running && !ledgerKeys.has(attemptKey(task)),
  );
  const used = sumResources([...assignments, ...untrackedTasks].map(({ size }) => size));
  usageCache.set(assignments, { tasks: view.tasks, used });
  return used;
};

const isUsable = (state: CellState, view: WorkerView, nowMs: number): boolean =>
  view.isListed &&
  hasRecentReport(view, state.timing.reportFreshnessMs, nowMs) &&
  !isWorkerDraining(state, view.instance.id) &&
  !state.workerHealth.isQuarantined(view.instance.id, nowMs);

export class FreeCapacity {
  readonly #candidates = new Map<string, PlacementCandidate>();

  /** The share of each worker's capacity that is open to work that can wait. */
  readonly #openShare: number;

  /**
   * Sizes that fitted no worker in this round. A size that is at least as large fits no worker
   * either.
   */
  readonly #tooLargeSizes: Resources[] = [];

  constructor(state: CellState, rows: CellRows, draft: CellDraft, nowMs: number) {
    this.#openShare = openShare(state.returnedAtMs, state.timing.zoneReturnMs, nowMs);
    const freedByWorker = new Map<string, Resources>();
    ledgerChange(rows, draft).dropped.forEach(({ workerId, size }) => {
      const known = freedByWorker.get(workerId);
      freedByWorker.set(workerId, known === undefined ? size : addResources(known, size));
    });
    state.workers.forEach((view, workerId) => {
      if (!isUsable(state, view, nowMs)) return;
      const used = usedResourcesOn(view, assignmentsOf(rows, workerId));
      const remaining = subtractResources(
        view.instance.capacity,
        addResources(used, state.learntSizes.excess(workerId)),
      );
      const freedSize = freedByWorker.get(workerId);
      this.#candidates.set(workerId, {
        workerId,
        rack: view.instance.rack,
        incarnation: view.report?.incarnation ?? '',
        capacity: view.instance.capacity,
        free: freedSize === undefined ? remaining : addResources(remaining, freedSize),
        sameServiceOnWorkerCount: 0,
        sameServiceInRackCount: 0,
      });
    });
  }

  /**
   * The candidates for a request. The list is empty if an equal or smaller request has found no
   * worker in this round. A large job at the head of the queue is thus skipped at little cost, and
   * smaller jobs behind it are placed.
   */
  candidatesFor(request: PlacementRequest, canWait: boolean): readonly PlacementCandidate[] {
    if (this.#tooLargeSizes.some((size) => fitsInto(size, request.size))) return [];
    return canWait ? this.openCandidates : this.candidates;
  }

  /**
   * The candidates for a job that has failed on some workers: the other workers, as long as there
   * are any. A worker that fails every task is always free, so packing would choose it again.
   */
  candidatesAvoiding(
    failedOn: ReadonlySet<string>,
    request: PlacementRequest,
    canWait: boolean,
  ): readonly PlacementCandidate[] {
    const all = this.candidatesFor(request, canWait);
    if (failedOn.size === 0) return all;
    const others = all.filter(({ workerId }) => !failedOn.has(workerId));
    return others.length > 0 ? others : all;
  }

  /** The candidates with the number of the service's replicas on the worker and in its rack. */
  candidatesWithReplicaCounts(
    replicas: readonly Assignment[],
    canWait: boolean,
  ): readonly PlacementCandidate[] {
    const workerCounts = new Map<string, number>();
    const rackCounts = new Map<string, number>();
    const increment = (counts: Map<string, number>, key: string): void => {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    };
    replicas.forEach(({ workerId }) => {
      const rack = this.#candidates.get(workerId)?.rack;
      increment(workerCounts, workerId);
      if (rack !== undefined) increment(rackCounts, rack);
    });
    const candidates = canWait ? this.openCandidates : this.candidates;
    return candidates.map((candidate) => ({
      ...candidate,
      sameServiceOnWorkerCount: workerCounts.get(candidate.workerId) ?? 0,
      sameServiceInRackCount: rackCounts.get(candidate.rack) ?? 0,
    }));
  }

  get candidates(): readonly PlacementCandidate[] {
    return [...this.#candidates.values()];
  }

  /**
   * The candidates with only the open share of their capacity while the zone is returning to use.
   */
  get openCandidates(): readonly PlacementCandidate[] {
    if (this.#openShare === 1) return this.candidates;
    const closedShare = 1 - this.#openShare;
    const closedPart = (amount: number): number => Math.ceil(amount * closedShare);
    return this.candidates.map((candidate) => {
      const { processorMillis, memoryBytes, acceleratorCount } = candidate.capacity;
      const closed = {
        processorMillis: closedPart(processorMillis),
        memoryBytes: closedPart(memoryBytes),
        acceleratorCount: closedPart(acceleratorCount),
      };
      return { ...candidate, free: subtractResources(candidate.free, closed) };
    });
  }

  noteTooLarge(size: Resources): void {
    this.#tooLargeSizes.push(size);
  }

  reserve(workerId: string, size: Resources): void {
    const candidate = this.#candidates.get(workerId);
    if (candidate === undefined) return;
    const free = subtractResources(candidate.free, size);
    this.#candidates.set(workerId, { ...candidate, free });
  }
}
