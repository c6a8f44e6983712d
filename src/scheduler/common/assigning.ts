/** Assigns queued work to workers: missing service replicas first, then batch tasks by urgency. */
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

/** The work that evicting a task would lose, by attempt key, for tasks whose worker reports it. */
const unsavedWorkByAttempt = (state: CellState): ReadonlyMap<string, number> => {
  const unsaved = new Map<string, number>();
  state.workers.forEach(({ report }) =>
    report?.tasks.forEach((task) => {
      if (task.unsavedWorkMs !== undefined) unsaved.set(attemptKey(task), task.unsavedWorkMs);
    }),
  );
  return unsaved;
};

/** The state of the assigning step of one round. Computes the free capacity only when needed. */
class AssigningRound {
  readonly state: CellState;

  readonly draft: CellDraft;

  readonly policy: PlacementPolicy;

  readonly operationId: string;

  readonly nowMs: number;

  readonly #rows: CellRows;

  readonly slowdownPredictor: SlowdownPredictor;

  #capacity: FreeCapacity | undefined;

  /** Shards with a task for which no worker had room. */
  readonly shardIdsWithoutRoom = new Set<string>();

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

  /** Requests preemption for a task that found no room and must not wait for other tasks to end. */
  makeRoom(size: Resources): void {
    this.#preemption ??= new PreemptionPlan(
      this.capacity.candidates,
      this.#rows,
      this.state.preempted,
      (assignment) => this.#lostWorkMs(assignment),
    );
    this.#preemption.makeRoom(size);
  }

  /**
   * The work that evicting a task would lose: all of it if its worker does not report the amount.
   */
  #lostWorkMs(assignment: Assignment): number {
    this.#unsavedWorkMs ??= unsavedWorkByAttempt(this.state);
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

const countServersElsewhere = (state: CellState, serviceName: string): number =>
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
  const wantedCount = replicaShare(view, round.state.cell, service.replicaCount);
  const elsewhereCount = countServersElsewhere(round.state, service.name);
  const size = serviceSize(round.state, service);
  const replicas = [...existing];
  let assignedCount = 0;
  while (replicas.length < wantedCount) {
    const request = { size, isSpread: true };
    // A replica can wait if other zones serve it in the meantime. One that no zone serves is
    // missing for callers.
    const canWait = replicas.length + elsewhereCount >= service.replicaCount;
    const nearCandidates = round.capacity.candidatesWithReplicaCounts(replicas, canWait);
    const chosen = round.policy.choose(
      request,
      round.slowdownPredictor.forService(service.name, nearCandidates),
    );
    if (chosen === undefined) {
      for (let count = replicas.length; count < wantedCount; count += 1) round.makeRoom(size);
      return assignedCount;
    }
    // Replicas of a service are interchangeable, so each gets an id that was never used before.
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

const assignShard = (round: AssigningRound, teamUse: TeamUsage, row: WorkRow): number => {
  const size = batchSize(round.state, row);
  const request = { size, isSpread: false };
  const failedOn = round.state.workerHealth.failedOn(row.shardId);
  let assignedCount = 0;
  let canAssignMore = true;
  const tasks = row.tasks.map((task) => {
    if (!canAssignMore || task.state !== BatchTaskState.Queued || isBackedOff(round, row, task)) {
      return task;
    }
    if (!teamUse.isWithinQuota(row.team, row.size)) {
      canAssignMore = false;
      return task;
    }
    const isUrgent = row.urgency === Urgency.Urgent;
    const allCandidates = round.capacity.candidatesAvoiding(failedOn, request, !isUrgent);
    const candidates = round.slowdownPredictor.forBatch(
      row.team,
      size.processorMillis,
      allCandidates,
      isUrgent,
    );
    const chosen = round.policy.choose(request, candidates);
    if (chosen === undefined) {
      // If the predictor ruled out workers to protect a service, other kinds of work may still fit
      // there, so the size is not noted as too large.
      if (candidates.length === allCandidates.length) round.capacity.noteTooLarge(size);
      round.shardIdsWithoutRoom.add(row.shardId);
      canAssignMore = isUrgent;
      if (canAssignMore) round.makeRoom(size);
      return task;
    }
    round.assign(chosen.rack, batchAssignment(row, task, size, chosen));
    teamUse.add(row.team, row.size);
    assignedCount += 1;
    return { ...task, state: BatchTaskState.Assigned };
  });
  if (assignedCount > 0) round.draft.setWork({ ...row, tasks });
  return assignedCount;
};

const hasQueuedTask = (row: WorkRow): boolean =>
  row.tasks.some((task) => task.state === BatchTaskState.Queued);

const assignBatch = (round: AssigningRound, parts: QuotaParts): number => {
  const { draft, state } = round;
  const queued = allShards(draft).filter(
    (row) => hasQueuedTask(row) && !draft.cancelledJobIds.has(row.jobId),
  );
  if (queued.length === 0) return 0;
  const teamUse = teamUsageOf(state, draft, parts);
  return orderedShards(queued, teamUse).reduce(
    (count, row) => (round.isFull ? count : count + assignShard(round, teamUse, row)),
    0,
  );
};

const groupedByService = (
  replicas: readonly Assignment[],
): ReadonlyMap<string, readonly Assignment[]> => {
  const groups = new Map<string, Assignment[]>();
  replicas.forEach((replica) => {
    const group = groups.get(replica.serviceName);
    if (group === undefined) groups.set(replica.serviceName, [replica]);
    else group.push(replica);
  });
  return groups;
};

export interface AssignmentResult {
  readonly count: number;
  /** Keys of the attempts that are preempted for urgent work or a service. */
  readonly preempted: ReadonlySet<string>;
  /** Shards with a task for which no worker had room. */
  readonly shardIdsWithoutRoom: ReadonlySet<string>;
  /** The capacity left on the workers; computed on the first call. */
  readonly capacity: () => FreeCapacity;
}

/** Assigns the queued work that fits, and selects the attempts to preempt for the rest. */
export const assignQueuedWork = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  parts: QuotaParts,
  policy: PlacementPolicy,
  operationId: string,
  nowMs: number,
): AssignmentResult => {
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
  const { preempted, shardIdsWithoutRoom } = round;
  return {
    count: serviceCount + batchCount,
    preempted,
    shardIdsWithoutRoom,
    capacity: () => round.capacity,
  };
};
