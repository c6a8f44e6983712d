/** Gives queued work to workers: fills up services first, then batch tasks by urgency. */
import { type ServiceDocument, Urgency } from '../../platform/configuration/common/documents.js';
import {
  addResources,
  type Resources,
  subtractResources,
  sumResources,
} from '../../platform/worker/common/resources.js';
import { TaskClass, WorkerTaskState } from '../../platform/worker/common/workerClient.js';
import {
  type Assignment,
  type BatchTask,
  batchTaskId,
  BatchTaskState,
  type WorkRow,
} from '../../platform/work/common/workRows.js';
import type { CellDraft } from './cellRows.js';
import type { CellState } from './cellState.js';
import type { PlacementCandidate, PlacementPolicy } from './placement.js';
import { isWorkerDraining, replicaShare } from './wantedEvictions.js';
import { attemptKey, isInContact, type WorkerView } from './workerView.js';

const URGENCY_ORDER: Readonly<Record<Urgency, number>> = {
  [Urgency.Urgent]: 0,
  [Urgency.Normal]: 1,
  [Urgency.Low]: 2,
};

/** What tasks running on the worker take that the ledger does not know of. */
const unledgeredUse = (view: WorkerView, assignments: readonly Assignment[]): Resources => {
  const unknown = (view.report?.tasks ?? []).filter(
    (task) =>
      task.state === WorkerTaskState.Running &&
      !assignments.some((assignment) => attemptKey(assignment) === attemptKey(task)),
  );
  return sumResources(unknown.map((task) => task.size));
};

/** Free capacity of the cell's workers, kept up while a round assigns. */
class FreeCapacity {
  readonly #candidates = new Map<string, PlacementCandidate>();

  readonly #assignments = new Map<string, Assignment[]>();

  constructor(state: CellState, draft: CellDraft, nowMs: number) {
    draft.racks.forEach((rack) =>
      draft.assignments(rack).forEach((assignment) => this.#note(assignment)),
    );
    state.workers.forEach((view, workerId) => {
      if (!FreeCapacity.#isUsable(state, view, nowMs)) return;
      const assignments = this.#assignments.get(workerId) ?? [];
      const used = addResources(
        sumResources(assignments.map((assignment) => assignment.size)),
        unledgeredUse(view, assignments),
      );
      this.#candidates.set(workerId, {
        workerId,
        rack: view.instance.rack,
        incarnation: view.report?.incarnation ?? '',
        capacity: view.instance.capacity,
        free: subtractResources(view.instance.capacity, used),
        sameServiceOnWorkerCount: 0,
        sameServiceInRackCount: 0,
      });
    });
  }

  candidates(): readonly PlacementCandidate[] {
    return [...this.#candidates.values()];
  }

  /** Candidates that know how many tasks of a service are near. */
  candidatesFor(serviceName: string): readonly PlacementCandidate[] {
    const rackCounts = new Map<string, number>();
    const workerCounts = new Map<string, number>();
    this.#candidates.forEach((candidate, workerId) => {
      const own = this.#assignments.get(workerId) ?? [];
      const count = own.filter((assignment) => assignment.serviceName === serviceName).length;
      workerCounts.set(workerId, count);
      rackCounts.set(candidate.rack, (rackCounts.get(candidate.rack) ?? 0) + count);
    });
    return this.candidates().map((candidate) => ({
      ...candidate,
      sameServiceOnWorkerCount: workerCounts.get(candidate.workerId) ?? 0,
      sameServiceInRackCount: rackCounts.get(candidate.rack) ?? 0,
    }));
  }

  take(assignment: Assignment): void {
    const candidate = this.#candidates.get(assignment.workerId);
    if (candidate === undefined) return;
    const free = subtractResources(candidate.free, assignment.size);
    this.#candidates.set(assignment.workerId, { ...candidate, free });
    this.#note(assignment);
  }

  #note(assignment: Assignment): void {
    const known = this.#assignments.get(assignment.workerId);
    if (known === undefined) this.#assignments.set(assignment.workerId, [assignment]);
    else known.push(assignment);
  }

  static #isUsable(state: CellState, view: WorkerView, nowMs: number): boolean {
    const isFresh = isInContact(view, state.timing.reportFreshnessMs, nowMs);
    return view.isListed && isFresh && !isWorkerDraining(state, view.instance.id);
  }
}

const addToLedger = (draft: CellDraft, rack: string, assignment: Assignment): void =>
  draft.setAssignments(rack, [...draft.assignments(rack), assignment]);

const serviceAssignment = (
  service: ServiceDocument,
  taskId: string,
  candidate: PlacementCandidate,
): Assignment => ({
  taskId,
  attempt: 1,
  workerId: candidate.workerId,
  incarnation: candidate.incarnation,
  taskClass: TaskClass.LatencyCritical,
  serviceName: service.name,
  shardId: '',
  taskIndex: 0,
  size: service.size,
  workMs: 0,
  checkpoint: null,
});

const batchAssignment = (
  row: WorkRow,
  task: BatchTask,
  candidate: PlacementCandidate,
): Assignment => ({
  taskId: batchTaskId(row.jobId, task.index),
  attempt: task.attempt,
  workerId: candidate.workerId,
  incarnation: candidate.incarnation,
  taskClass: TaskClass.Batch,
  serviceName: '',
  shardId: row.shardId,
  taskIndex: task.index,
  size: row.size,
  workMs: row.workMs,
  checkpoint: task.checkpoint,
});

const assignService = (
  state: CellState,
  draft: CellDraft,
  capacity: FreeCapacity,
  policy: PlacementPolicy,
  service: ServiceDocument,
  operationId: string,
): number => {
  const view = state.configuration?.view;
  if (view === undefined) return 0;
  const wanted = replicaShare(view, state.cell, service.replicaCount);
  const existing = draft.racks
    .flatMap((rack) => draft.assignments(rack))
    .filter((assignment) => assignment.serviceName === service.name).length;
  let assignedCount = 0;
  while (existing + assignedCount < wanted) {
    const candidates = capacity.candidatesFor(service.name);
    const chosen = policy.choose({ size: service.size, isSpread: true }, candidates);
    if (chosen === undefined) return assignedCount;
    // Tasks of a service are interchangeable, so each gets an id that was never used before.
    const taskId = `${service.name}@${operationId}.${assignedCount}`;
    const assignment = serviceAssignment(service, taskId, chosen);
    addToLedger(draft, chosen.rack, assignment);
    capacity.take(assignment);
    assignedCount += 1;
  }
  return assignedCount;
};

const assignShard = (
  draft: CellDraft,
  capacity: FreeCapacity,
  policy: PlacementPolicy,
  row: WorkRow,
): number => {
  let assignedCount = 0;
  let isFull = false;
  const tasks = row.tasks.map((task) => {
    if (isFull || task.state !== BatchTaskState.Queued) return task;
    const request = { size: row.size, isSpread: false };
    const chosen = policy.choose(request, capacity.candidates());
    if (chosen === undefined) {
      isFull = true;
      return task;
    }
    const assignment = batchAssignment(row, task, chosen);
    addToLedger(draft, chosen.rack, assignment);
    capacity.take(assignment);
    assignedCount += 1;
    return { ...task, state: BatchTaskState.Assigned };
  });
  if (assignedCount > 0) draft.setWork({ ...row, tasks });
  return assignedCount;
};

const shardsByUrgency = (draft: CellDraft): readonly WorkRow[] =>
  draft.shardIds
    .map((shardId) => draft.work(shardId))
    .filter((row): row is WorkRow => row !== undefined && !draft.cancelledJobIds.has(row.jobId))
    .filter((row) => row.tasks.some((task) => task.state === BatchTaskState.Queued))
    .sort((left, right) => URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency]);

/** Assigns what fits and returns how many tasks were assigned. */
export const assignQueuedWork = (
  state: CellState,
  draft: CellDraft,
  policy: PlacementPolicy,
  operationId: string,
  nowMs: number,
): number => {
  const capacity = new FreeCapacity(state, draft, nowMs);
  const services = [...(state.configuration?.view.services.values() ?? [])].sort(
    (left, right) => URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency],
  );
  const serviceCount = services.reduce(
    (count, service) => count + assignService(state, draft, capacity, policy, service, operationId),
    0,
  );
  return shardsByUrgency(draft).reduce(
    (count, row) => count + assignShard(draft, capacity, policy, row),
    serviceCount,
  );
};
