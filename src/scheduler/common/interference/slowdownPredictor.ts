/** Predicts how much a placement would slow the services on a worker. */
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

/** A kind whose highest recent slowdown is below this value can be placed anywhere. */
const NEGLIGIBLE_SLOWDOWN = 0.01;

/** The total that the open tasks of a kind declare. */
interface Demand {
  processorMillis: number;
  taskCount: number;
}

const openTaskCounts = new WeakMap<WorkRow, number>();

/**
 * Counts the open tasks of a row. The count is cached, since a row object is replaced on each
 * change.
 */
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
  /** The share of the worker's processors that the tasks of each kind hold. */
  readonly declaredShareByKind: Map<string, number>;
}

/**
 * Predicts slowdowns for placement. Designed for batch kinds of which a few slow a service and most
 * do not. Placing harmful kinds apart from the services costs nothing and comes before any
 * throttling. The prediction uses the highest recent slowdown, because a kind whose load varies may
 * be placed between two waves. It depends only on the estimates; without them nothing is kept
 * apart.
 */
export class SlowdownPredictor {
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
   * The candidates with the predicted slowdown after placing the task. Candidates above the limit
   * are left out unless the work is urgent: the task waits for another worker, or for the estimate
   * to decay.
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

  /** The candidates with the predicted slowdown of a replica of the service. */
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

  addAssignment(assignment: Assignment): void {
    SlowdownPredictor.#add(
      this.#occupancyOf(assignment.workerId),
      assignment,
      this.#rows,
      this.#state,
    );
  }

  /**
   * The share of the cell's batch work whose kind alone would not slow the candidate's services.
   */
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

  /**
   * The predicted slowdown after placing the task. It is zero if the task itself adds next to
   * nothing, however much other tasks slow the services.
   */
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
      SlowdownPredictor.#add(occupancy, assignment, this.#rows, this.#state),
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
