/** The load of one worker, as input to the interference estimates. */
import {
  TaskClass,
  type WorkerReport,
  type WorkerTaskReport,
  WorkerTaskState,
} from '../../../services/worker/common/workerClient.js';
import type { Assignment } from '../../../services/workload/common/workRows.js';
import { assignmentsOf, type CellRows } from '../cellRows.js';
import { attemptKey, type WorkerView } from '../workerView.js';

export interface BatchLoad {
  readonly key: string;
  readonly kind: string;
  /** The shares of the worker's processors that the task declares and that it uses now. */
  readonly declaredShare: number;
  readonly usedShare: number;
  /** The share of the task's own processors that the worker grants it; 1 if it is not throttled. */
  readonly processorShare: number;
  /** The work that an eviction would lose, if the worker reports it. */
  readonly unsavedWorkMs: number | undefined;
}

export interface WorkerLoad {
  readonly serviceNames: readonly string[];
  readonly batch: readonly BatchLoad[];
}

const NO_TASKS: WorkerReport['tasks'] = [];

/** The kind of a batch task. All tasks of a team are assumed to be alike. */
export const kindOf = (rows: CellRows, assignment: Assignment): string =>
  rows.work.get(assignment.shardId)?.team ?? '';

const loadOf = (
  rows: CellRows,
  view: WorkerView,
  assignments: readonly Assignment[],
): WorkerLoad => {
  const reports = new Map<string, WorkerTaskReport>();
  view.report?.tasks.forEach((task) => {
    if (task.state === WorkerTaskState.Running) reports.set(attemptKey(task), task);
  });
  const { processorMillis } = view.instance.capacity;
  const batch: BatchLoad[] = [];
  const serviceNames = new Set<string>();
  assignments.forEach((assignment) => {
    const key = attemptKey(assignment);
    const report = reports.get(key);
    if (report === undefined) return;
    if (assignment.taskClass === TaskClass.LatencyCritical) {
      serviceNames.add(assignment.serviceName);
      return;
    }
    const processorShare = report.processorShare ?? 1;
    const declaredShare = assignment.size.processorMillis / processorMillis;
    const usedShare = report.usage.processorMillis / processorMillis;
    batch.push({
      key,
      kind: kindOf(rows, assignment),
      declaredShare,
      // While the worker reports no usage, the task is assumed to use its granted share.
      usedShare: usedShare > 0 ? usedShare : declaredShare * processorShare,
      processorShare,
      unsavedWorkMs: report.unsavedWorkMs,
    });
  });
  return { serviceNames: [...serviceNames], batch };
};

interface CachedLoad {
  readonly report: WorkerReport['tasks'];
  readonly load: WorkerLoad;
}

/** Keyed by the worker's list of assignments, which is a new object after each change. */
const loadCache = new WeakMap<readonly Assignment[], CachedLoad>();

/**
 * The tasks in the ledger that the worker last reported as running. A cell of 123 workers is
 * checked every second and hardly any worker has changed, so the result is cached while the lists
 * of assignments and reported tasks are the same objects. The cached kinds stay valid because a
 * shard's team never changes.
 */
export const workerLoad = (rows: CellRows, view: WorkerView): WorkerLoad => {
  const assignments = assignmentsOf(rows, view.instance.id);
  const report = view.report?.tasks ?? NO_TASKS;
  const entry = loadCache.get(assignments);
  if (entry !== undefined && entry.report === report && assignments.length > 0) return entry.load;
  const load = loadOf(rows, view, assignments);
  loadCache.set(assignments, { report, load });
  return load;
};

const fingerprints = new WeakMap<WorkerLoad, string>();

/** Identifies everything in the load that affects a service's latency, to detect changes. */
export const loadFingerprint = (load: WorkerLoad): string => {
  const known = fingerprints.get(load);
  if (known !== undefined) return known;
  const { serviceNames, batch } = load;
  const tasks = batch.map(({ key, processorShare }) => `${key}:${processorShare}`);
  const fingerprint = [...serviceNames, ...tasks].join(' ');
  fingerprints.set(load, fingerprint);
  return fingerprint;
};
