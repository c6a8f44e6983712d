/** What runs on one worker, as the estimates of interference look at it. */
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
  /** The share of the worker's processors that was declared and that is used now. */
  readonly declaredShare: number;
  readonly usedShare: number;
  /** What the worker lets the task have of its processors. */
  readonly processorShare: number;
  /** Work that an eviction would lose, when the worker tells it. */
  readonly unsavedWorkMs: number | undefined;
}

export interface WorkerLoad {
  readonly serviceNames: readonly string[];
  readonly batch: readonly BatchLoad[];
}

const NO_TASKS: WorkerReport['tasks'] = [];

/** The kind of a batch task: what its team submits is taken to be alike. */
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
      // A worker that measures no use yet is taken at its word for the size.
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

/** By a worker's list of assignments, which is another one after each change. */
const loadCache = new WeakMap<readonly Assignment[], CachedLoad>();

/**
 * What the worker last reported to be running, of what stands in the ledger. A cell of 123 workers
 * is looked at each second and hardly any of them has changed, so the answer is kept for as long as
 * assignments and reported tasks are the same lists; a shard's team never changes.
 */
export const workerLoad = (rows: CellRows, view: WorkerView): WorkerLoad => {
  const assignments = assignmentsOf(rows, view.instance.id);
  const report = view.report?.tasks ?? NO_TASKS;
  const cached = loadCache.get(assignments);
  if (cached !== undefined && cached.report === report && assignments.length > 0)
    return cached.load;
  const load = loadOf(rows, view, assignments);
  loadCache.set(assignments, { report, load });
  return load;
};

const fingerprints = new WeakMap<WorkerLoad, string>();

/** Tells whether anything that bears on a service's latency is other than it was. */
export const loadFingerprint = (load: WorkerLoad): string => {
  const known = fingerprints.get(load);
  if (known !== undefined) return known;
  const { serviceNames, batch } = load;
  const tasks = batch.map(({ key, processorShare }) => `${key}:${processorShare}`);
  const fingerprint = [...serviceNames, ...tasks].join(' ');
  fingerprints.set(load, fingerprint);
  return fingerprint;
};
