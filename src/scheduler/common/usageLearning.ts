/** Learns task sizes from the usage in worker reports and applies them to new assignments. */
import type { ServiceDocument } from '../../services/configuration/common/documents.js';
import type { Resources } from '../../services/worker/common/resources.js';
import {
  TaskClass,
  WorkerTaskState,
  type WorkerTaskReport,
} from '../../services/worker/common/workerClient.js';
import type { Assignment, WorkRow } from '../../services/workload/common/workRows.js';
import { assignmentsOf, type CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import {
  LearntSizes,
  tasksToEvictForMemory,
  learntSizeIfPlaceable,
  type UsageSample,
} from './learntSizes.js';
import { attemptKey, type WorkerView } from './workerView.js';

/** Usage changes over seconds; checking 2,500 tasks more often would only cost processor time. */
const LEARNING_INTERVAL_MS = 5_000;

const serviceKind = (name: string): string => `service ${name}`;

/** Tasks of one team that declare the same size are of the same kind. */
const batchKind = ({ team, size }: Pick<WorkRow, 'team' | 'size'>): string =>
  `${team} ${size.processorMillis} ${size.memoryBytes} ${size.acceleratorCount}`;

interface TaskKind {
  readonly kind: string;
  readonly isService: boolean;
  readonly declared: Resources;
}

const kindOf = (state: CellState, rows: CellRows, assignment: Assignment): TaskKind | undefined => {
  if (assignment.taskClass === TaskClass.LatencyCritical) {
    const service = state.configuration?.view.services.get(assignment.serviceName);
    if (service === undefined) return undefined;
    return { kind: serviceKind(service.name), isService: true, declared: service.size };
  }
  const row = rows.work.get(assignment.shardId);
  if (row === undefined) return undefined;
  return { kind: batchKind(row), isService: false, declared: row.size };
};

/**
 * A throttled task counts as using its full committed processors. The capacity that it leaves idle
 * is not given to other tasks, since the throttle may be lifted at any time.
 */
const usageWithoutThrottle = (task: WorkerTaskReport, { size }: Assignment): Resources => {
  if ((task.processorShare ?? 1) === 1) return task.usage;
  const processorMillis = Math.max(task.usage.processorMillis, size.processorMillis);
  return { ...task.usage, processorMillis };
};

const samplesOn = (
  state: CellState,
  rows: CellRows,
  workerId: string,
  view: WorkerView,
): readonly UsageSample[] => {
  const running = new Map(
    view.report?.tasks
      .filter((task) => task.state === WorkerTaskState.Running)
      .map((task) => [attemptKey(task), task]),
  );
  return assignmentsOf(rows, workerId).flatMap((assignment) => {
    const key = attemptKey(assignment);
    const task = running.get(key);
    const kind = kindOf(state, rows, assignment);
    if (task === undefined || kind === undefined) return [];
    const usage = usageWithoutThrottle(task, assignment);
    const isThrottled = (task.processorShare ?? 1) < 1;
    const sample = { ...kind, workerId, attemptKey: key, committed: assignment.size };
    return [{ ...sample, usage, isThrottled }];
  });
};

export const isLearningSizes = (state: CellState): boolean =>
  state.configuration?.view.policy.isSizeLearnt === true;

/**
 * Learns from the last reports, and adds to `preempted` the tasks that a worker's memory has no
 * room for.
 */
export const learnFromUsage = (state: CellState, nowMs: number): CellState => {
  const { rows } = state;
  if (rows === undefined || nowMs < state.nextLearningAtMs) return state;
  const nextLearningAtMs = nowMs + LEARNING_INTERVAL_MS;
  if (!isLearningSizes(state)) {
    return { ...state, nextLearningAtMs, learntSizes: new LearntSizes() };
  }
  const samples: UsageSample[] = [];
  const preempted = new Set(state.preempted);
  state.workers.forEach((view, workerId) => {
    const workerSamples = samplesOn(state, rows, workerId, view);
    samples.push(...workerSamples);
    const toEvict = tasksToEvictForMemory(workerSamples, view.instance.capacity, preempted);
    toEvict.forEach((key) => preempted.add(key));
  });
  const isRoundStale = state.isRoundStale || preempted.size > state.preempted.size;
  const learntSizes = state.learntSizes.withSamples(samples, nowMs);
  return { ...state, nextLearningAtMs, learntSizes, preempted, isRoundStale };
};

const committedSize = (state: CellState, kind: TaskKind): Resources => {
  if (!isLearningSizes(state)) return kind.declared;
  const learnt = state.learntSizes.size(kind.kind, kind.isService, kind.declared);
  if (learnt === kind.declared) return learnt;
  const capacities = [...state.workers.values()].map(({ instance }) => instance.capacity);
  return learntSizeIfPlaceable(learnt, kind.declared, capacities);
};

/** The size to commit for a new replica. */
export const serviceSize = (state: CellState, { name, size }: ServiceDocument): Resources =>
  committedSize(state, { kind: serviceKind(name), isService: true, declared: size });

/** The size to commit for a new batch task. */
export const batchSize = (state: CellState, row: WorkRow): Resources =>
  committedSize(state, { kind: batchKind(row), isService: false, declared: row.size });
