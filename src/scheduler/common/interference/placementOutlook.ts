/** What a placement would do to the services beside it. */
import { TaskClass } from '../../../services/worker/common/workerClient.js';
import {
  type Assignment,
  isEnded,
  type WorkRow,
} from '../../../services/workload/common/workRows.js';
import { assignmentsOf, type CellRows } from '../cellRows.js';
import type { CellState } from '../cellState.js';
import type { PlacementCandidate } from '../placement.js';
import { usageRatio } from './interferenceState.js';
import { kindOf } from './workerLoad.js';

/** A kind that adds less than this at its worst goes anywhere. */
const NEGLIGIBLE_SLOWDOWN = 0.01;

/** What the open tasks of a kind declare together. */
interface Demand {
  processorMillis: number;
  taskCount: number;
}

const openTaskCounts = new WeakMap<WorkRow, number>();

/** A row is replaced when a task of it changes, so its count is worked out once. */
const openTaskCountOf = (row: WorkRow): number => {
  const known = openTaskCounts.get(row);
  if (known !== undefined) return known;
  const count = row.tasks.filter((task) => !isEnded(task)).length;
  openTaskCounts.set(row, count);
  return count;
};

const demandByKind = (rows: CellRows): ReadonlyMap<string, Demand> => {
  const demand = new Map<string, Demand>();
  rows.work.forEach((row) => {
    const { team, size } = row;
    const openCount = openTaskCountOf(row);
    if (openCount === 0) return;
    const known = demand.get(team) ?? { processorMillis: 0, taskCount: 0 };
    known.processorMillis += openCount * size.processorMillis;
    known.taskCount += openCount;
    demand.set(team, known);
  });
  return demand;
};

interface WorkerOccupancy {
  readonly serviceNames: Set<string>;
  /** Processors that tasks of each kind hold, as a share of the worker's. */
  readonly declaredShareByKind: Map<string, number>;
}

/**
 * Made for batch kinds of which a few hurt a service and most do not: hurtful pairs are kept
 * apart by where tasks start, which costs nothing, before anything has to be throttled. It goes
 * by the worst of late, since a noisy kind is placed between its waves. Known only from what the
 * estimates hold; without them nothing is kept apart.
 */
export class PlacementOutlook {
  readonly #state: CellState;

  readonly #rows: CellRows;

  readonly #nowMs: number;

  readonly #workers = new Map<string, WorkerOccupancy>();

  readonly #compatibleShareByServices = new Map<string, number>();

  #cachedDemand: ReadonlyMap<string, Demand> | undefined;

  constructor(state: CellState, rows: CellRows, nowMs: number) {
    this.#state = state;
    this.#rows = rows;
    this.#nowMs = nowMs;
  }

  get #demand(): ReadonlyMap<string, Demand> {
    this.#cachedDemand ??= demandByKind(this.#rows);
    return this.#cachedDemand;
  }

  /**
   * The candidates with the slowdown that the task would leave behind. Those where it would be
   * too much are left out unless the work is urgent: it waits for another place, or for the
   * estimate to fade.
   */
  forBatch(
    kind: string,
    processorMillis: number,
    candidates: readonly PlacementCandidate[],
    isUrgent: boolean,
  ): readonly PlacementCandidate[] {
    const policy = this.#state.timing.interference;
    if (!policy.isEnabled || this.#state.interference.estimates.isEmpty) return candidates;
    const ratedCandidates = candidates.map((candidate) => {
      const { workerId, capacity } = candidate;
      const declaredShare = processorMillis / capacity.processorMillis;
      const predictedSlowdown = this.#slowdownAfter(workerId, kind, declaredShare);
      return {
        ...candidate,
        predictedSlowdown,
        compatibleWorkShare: this.#compatibleWorkShare(candidate),
      };
    });
    return isUrgent
      ? ratedCandidates
      : ratedCandidates.filter(
          ({ predictedSlowdown }) => predictedSlowdown <= policy.placementSlowdown,
        );
  }

  /** The candidates with the slowdown that a replica of the service would meet. */
  forService(
    serviceName: string,
    candidates: readonly PlacementCandidate[],
  ): readonly PlacementCandidate[] {
    const { interference, timing } = this.#state;
    if (!timing.interference.isEnabled) return candidates;
    if (interference.estimates.baseLatencyMs(serviceName) === undefined) return candidates;
    return candidates.map((candidate) => {
      const predictedSlowdown = this.#currentSlowdown(
        this.#occupancyOf(candidate.workerId),
        serviceName,
      );
      return { ...candidate, predictedSlowdown };
    });
  }

  take(assignment: Assignment): void {
    PlacementOutlook.#add(
      this.#occupancyOf(assignment.workerId),
      assignment,
      this.#rows,
      this.#state,
    );
  }

  /** The part of the cell's work whose kind alone would not slow the candidate's services. */
  #compatibleWorkShare({ workerId, capacity }: PlacementCandidate): number {
    const { serviceNames } = this.#occupancyOf(workerId);
    const key = `${[...serviceNames].sort().join()} ${capacity.processorMillis}`;
    const known = this.#compatibleShareByServices.get(key);
    if (known !== undefined) return known;
    const limit = this.#state.timing.interference.placementSlowdown;
    let total = 0;
    let compatible = 0;
    this.#demand.forEach(({ processorMillis, taskCount }, kind) => {
      const declaredShare = processorMillis / taskCount / capacity.processorMillis;
      const isHarmful = [...serviceNames].some(
        (name) => this.#slowdown(name, kind, declaredShare) > limit,
      );
      total += processorMillis;
      if (!isHarmful) compatible += processorMillis;
    });
    const compatibleShare = total === 0 ? 0 : compatible / total;
    this.#compatibleShareByServices.set(key, compatibleShare);
    return compatibleShare;
  }

  /** Zero where the task itself adds next to nothing, however slow others make the services. */
  #slowdownAfter(workerId: string, kind: string, declaredShare: number): number {
    const worker = this.#occupancyOf(workerId);
    let worst = 0;
    worker.serviceNames.forEach((serviceName) => {
      const own = this.#slowdown(serviceName, kind, declaredShare);
      if (own < NEGLIGIBLE_SLOWDOWN) return;
      worst = Math.max(worst, own + this.#currentSlowdown(worker, serviceName));
    });
    return worst;
  }

  #currentSlowdown(worker: WorkerOccupancy, serviceName: string): number {
    let sum = 0;
    worker.declaredShareByKind.forEach((declaredShare, kind) => {
      sum += this.#slowdown(serviceName, kind, declaredShare);
    });
    return sum;
  }

  #slowdown(serviceName: string, kind: string, declaredShare: number): number {
    const { interference } = this.#state;
    const exposure = declaredShare * usageRatio(interference, kind);
    return interference.estimates.worstSlowdown(serviceName, kind, exposure, this.#nowMs);
  }

  #occupancyOf(workerId: string): WorkerOccupancy {
    const known = this.#workers.get(workerId);
    if (known !== undefined) return known;
    const occupancy: WorkerOccupancy = { serviceNames: new Set(), declaredShareByKind: new Map() };
    assignmentsOf(this.#rows, workerId).forEach((assignment) =>
      PlacementOutlook.#add(occupancy, assignment, this.#rows, this.#state),
    );
    this.#workers.set(workerId, occupancy);
    return occupancy;
  }

  static #add(
    occupancy: WorkerOccupancy,
    assignment: Assignment,
    rows: CellRows,
    state: CellState,
  ): void {
    if (assignment.taskClass === TaskClass.LatencyCritical) {
      occupancy.serviceNames.add(assignment.serviceName);
      return;
    }
    const capacity = state.workers.get(assignment.workerId)?.instance.capacity.processorMillis ?? 0;
    if (capacity === 0) return;
    const kind = kindOf(rows, assignment);
    const share = assignment.size.processorMillis / capacity;
    occupancy.declaredShareByKind.set(kind, (occupancy.declaredShareByKind.get(kind) ?? 0) + share);
  }
}
