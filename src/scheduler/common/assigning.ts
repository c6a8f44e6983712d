/** Gives queued work to workers: fills up services first, then batch tasks by urgency. */
import {
  type ServiceDocument,
  Urgency,
  URGENCY_ORDER,
} from '../../services/configuration/common/documents.js';
import { replicaShare } from '../../services/configuration/common/replicaShare.js';
import type { Resources } from '../../services/worker/common/resources.js';
import { TaskClass } from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  type BatchTask,
  batchTaskId,
  BatchTaskState,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { FreeCapacity } from './freeCapacity.js';
import { SlowdownPredictor } from './interference/slowdownPredictor.js';
import type { PlacementCandidate, PlacementPolicy } from './placement.js';
import { PreemptionPlan } from './preemption.js';
import { batchSize, serviceSize } from './usageLearning.js';
import { orderedShards, type TeamUsage } from './queueOrder.js';
import type { QuotaParts } from './quotaParts.js';
import { allShards, teamUsageOf } from './quotaRound.js';
import { attemptKey } from './workerView.js';

/** What evicting each task would lose, as far as workers tell it, by attempt. */
const unsavedWorkMs = (state: CellState): ReadonlyMap<string, number> => {
  const unsaved = new Map<string, number>();
  state.workers.forEach(({ report }) =>
    report?.tasks.forEach((task) => {
      if (task.unsavedWorkMs !== undefined) unsaved.set(attemptKey(task), task.unsavedWorkMs);
    }),
  );
  return unsaved;
};

/** What a round's assigning works on; the capacity is worked out only once it is needed. */
class AssigningRound {
  readonly state: CellState;

  readonly draft: CellDraft;

  readonly policy: PlacementPolicy;

  readonly operationId: string;

  readonly nowMs: number;

  readonly #rows: CellRows;

  readonly slowdownPredictor: SlowdownPredictor;

  #capacity: FreeCapacity | undefined;

  /** Shards of which a task found no worker with room. */
  readonly roomless = new Set<string>();

  #preemption: PreemptionPlan | undefined;

  #unsavedWorkMs: ReadonlyMap<string, number> | undefined;

  constructor(
    state: CellState,
    rows: CellRows,
    draft: CellDraft,
    policy: PlacementPolicy,
    operationId: string,
    nowMs: number,
  ) {
    this.state = state;
    this.#rows = rows;
    this.draft = draft;
    this.policy = policy;
    this.operationId = operationId;
    this.nowMs = nowMs;
    this.slowdownPredictor = new SlowdownPredictor(state, rows, nowMs);
  }

  get capacity(): FreeCapacity {
    this.#capacity ??= new FreeCapacity(this.state, this.#rows, this.draft, this.nowMs);
    return this.#capacity;
  }

  /** Asks for room for a task that found none and must not wait for others to end. */
  makeRoom(size: Resources): void {
    this.#preemption ??= new PreemptionPlan(
      this.capacity.candidates,
      this.#rows,
      this.state.preempted,
      (assignment) => this.#lostWorkMs(assignment),
    );
    this.#preemption.makeRoom(size);
  }

  /** A task whose worker cannot tell may lose all that it was to do. */
  #lostWorkMs(assignment: Assignment): number {
    this.#unsavedWorkMs ??= unsavedWorkMs(this.state);
    return this.#unsavedWorkMs.get(attemptKey(assignment)) ?? assignment.workMs;
  }

  get preempted(): ReadonlySet<string> {
    return this.#preemption?.chosen ?? new Set();
  }

  get isFull(): boolean {
    return this.draft.rowCount >= this.state.timing.maximumRowsPerRound;
  }

  assign(rack: string, assignment: Assignment): void {
    this.draft.setAssignments(rack, [...this.draft.assignments(rack), assignment]);
    this.capacity.reserve(assignment.workerId, assignment.size);
    this.slowdownPredictor.addAssignment(assignment);
  }
}

const serviceAssignment = (
  service: ServiceDocument,
  size: Resources,
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
  size,
  workMs: 0,
  checkpoint: null,
});

const batchAssignment = (
  row: WorkRow,
  task: BatchTask,
  size: Resources,
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
  size,
  workMs: row.workMs,
  checkpoint: task.checkpoint,
});

const servedElsewhere = (state: CellState, serviceName: string): number =>
  [...state.endpointView.rows.values()]
    .flatMap(({ servers }) => servers)
    .filter((server) => server.serviceName === serviceName).length;

const assignService = (
  round: AssigningRound,
  service: ServiceDocument,
  existing: readonly Assignment[],
): number => {
  const view = round.state.configuration?.view;
  if (view === undefined) return 0;
  const wanted = replicaShare(view, round.state.cell, service.replicaCount);
  const elsewhereCount = servedElsewhere(round.state, service.name);
  const size = serviceSize(round.state, service);
  const replicas = [...existing];
  let assignedCount = 0;
  while (replicas.length < wanted) {
    const request = { size, isSpread: true };
    // What no zone serves is missing to callers; the rest others keep until it is served here.
    const canWait = replicas.length + elsewhereCount >= service.replicaCount;
    const near = round.capacity.candidatesWithReplicaCounts(replicas, canWait);
    const chosen = round.policy.choose(
      request,
      round.slowdownPredictor.forService(service.name, near),
    );
    if (chosen === undefined) {
      for (let count = replicas.length; count < wanted; count += 1) round.makeRoom(size);
      return assignedCount;
    }
    // Tasks of a service are interchangeable, so each gets an id that was never used before.
    const taskId = `${service.name}@${round.operationId}.${assignedCount}`;
    const assignment = serviceAssignment(service, size, taskId, chosen);
    round.assign(chosen.rack, assignment);
    replicas.push(assignment);
    assignedCount += 1;
  }
  return assignedCount;
};

const isBackedOff = (round: AssigningRound, row: WorkRow, task: BatchTask): boolean =>
  round.nowMs < (round.state.retryAtMs.get(batchTaskId(row.jobId, task.index)) ?? 0);

const assignShard = (round: AssigningRound, use: TeamUsage, row: WorkRow): number => {
  const size = batchSize(round.state, row);
  const request = { size, isSpread: false };
  const failedOn = round.state.workerHealth.failedOn(row.shardId);
  let assignedCount = 0;
  let hasRoom = true;
  const tasks = row.tasks.map((task) => {
    if (!hasRoom || task.state !== BatchTaskState.Queued || isBackedOff(round, row, task)) {
      return task;
    }
    if (!use.isWithinQuota(row.team, row.size)) {
      hasRoom = false;
      return task;
    }
    const isUrgent = row.urgency === Urgency.Urgent;
    const all = round.capacity.candidatesAvoiding(failedOn, request, !isUrgent);
    const candidates = round.slowdownPredictor.forBatch(
      row.team,
      size.processorMillis,
      all,
      isUrgent,
    );
    const chosen = round.policy.choose(request, candidates);
    if (chosen === undefined) {
      // Work of another kind may have a place where this one is kept away from a service.
      if (candidates.length === all.length) round.capacity.noteTooLarge(size);
      round.roomless.add(row.shardId);
      hasRoom = isUrgent;
      if (hasRoom) round.makeRoom(size);
      return task;
    }
    round.assign(chosen.rack, batchAssignment(row, task, size, chosen));
    use.add(row.team, row.size);
    assignedCount += 1;
    return { ...task, state: BatchTaskState.Assigned };
  });
  if (assignedCount > 0) round.draft.setWork({ ...row, tasks });
  return assignedCount;
};

const hasQueued = (row: WorkRow): boolean =>
  row.tasks.some((task) => task.state === BatchTaskState.Queued);

const assignBatch = (round: AssigningRound, parts: QuotaParts): number => {
  const { draft, state } = round;
  const queued = allShards(draft).filter(
    (row) => hasQueued(row) && !draft.cancelledJobIds.has(row.jobId),
  );
  if (queued.length === 0) return 0;
  const use = teamUsageOf(state, draft, parts);
  return orderedShards(queued, use).reduce(
    (count, row) => (round.isFull ? count : count + assignShard(round, use, row)),
    0,
  );
};

const groupedByService = (
  replicas: readonly Assignment[],
): ReadonlyMap<string, readonly Assignment[]> => {
  const groups = new Map<string, Assignment[]>();
  replicas.forEach((replica) => {
    const known = groups.get(replica.serviceName);
    if (known === undefined) groups.set(replica.serviceName, [replica]);
    else known.push(replica);
  });
  return groups;
};

export interface Assigned {
  readonly count: number;
  /** Attempts that have to leave for urgent work, as keys. */
  readonly preempted: ReadonlySet<string>;
  /** Shards of which a task found no worker with room. */
  readonly roomless: ReadonlySet<string>;
  /** What is left on the workers; worked out when asked for. */
  readonly capacity: () => FreeCapacity;
}

/** Assigns what fits and tells what has to make room. */
export const assignQueuedWork = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  parts: QuotaParts,
  policy: PlacementPolicy,
  operationId: string,
  nowMs: number,
): Assigned => {
  const round = new AssigningRound(state, rows, draft, policy, operationId, nowMs);
  const replicas = groupedByService(draft.replicas);
  const services = [...(state.configuration?.view.services.values() ?? [])].sort(
    (left, right) => URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency],
  );
  const serviceCount = services.reduce(
    (count, service) => count + assignService(round, service, replicas.get(service.name) ?? []),
    0,
  );
  const batchCount = assignBatch(round, parts);
  const { preempted, roomless } = round;
  return { count: serviceCount + batchCount, preempted, roomless, capacity: () => round.capacity };
};
