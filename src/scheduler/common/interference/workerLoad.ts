/** What runs on one worker, as the estimates of interference look at it. */
import {
  TaskClass,
  type WorkerTaskReport,
  WorkerTaskState,
} from '../../../platform/worker/common/workerClient.js';
import type { Assignment } from '../../../platform/workload/common/workRows.js';
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

/** The kind of a batch task: what its team submits is taken to be alike. */
export const kindOf = (rows: CellRows, assignment: Assignment): string =>
  rows.work.get(assignment.shardId)?.team ?? '';

/** What the worker last reported to be running, of what stands in the ledger. */
export const workerLoad = (rows: CellRows, view: WorkerView): WorkerLoad => {
  const reports = new Map<string, WorkerTaskReport>();
  view.report?.tasks.forEach((task) => {
    if (task.state === WorkerTaskState.Running) reports.set(attemptKey(task), task);
  });
  const { processorMillis } = view.instance.capacity;
  const batch: BatchLoad[] = [];
  const serviceNames = new Set<string>();
  assignmentsOf(rows, view.instance.id).forEach((assignment) => {
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

/** Tells whether anything that bears on a service's latency is other than it was. */
export const loadFingerprint = ({ serviceNames, batch }: WorkerLoad): string =>
  [...serviceNames, ...batch.map(({ key, processorShare }) => `${key}:${processorShare}`)].join(
    ' ',
  );
