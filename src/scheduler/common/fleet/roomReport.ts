/** Reports which work holds the processors while tasks find no room. */
import type { LogFields } from '../../../services/log/common/log.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { countedSize, type TaskRun } from './taskRecords.js';

const INTERVAL_MS = 1_000;
const MILLIS_PER_PROCESSOR = 1_000;

const processorsOf = (runs: readonly TaskRun[]): number =>
  runs.reduce((sum, { task }) => sum + countedSize(task.step).processorMillis, 0) /
  MILLIS_PER_PROCESSOR;

export class RoomReport {
  #nextAtMs = Number.NEGATIVE_INFINITY;

  /** Returns the fields of a log line on the workers that tasks may start on, if one is due. */
  fields(views: readonly FleetWorkerView[], nowMs: number): LogFields | undefined {
    if (nowMs < this.#nextAtMs) return undefined;
    this.#nextAtMs = nowMs + INTERVAL_MS;
    const runs = views.flatMap((view) => [...view.runs.values()]);
    const free = views.map((view) => view.free.processorMillis / MILLIS_PER_PROCESSOR);
    return {
      workers: views.length,
      persistentProcessors: Math.round(
        processorsOf(runs.filter(({ task }) => task.step.isPersistent)),
      ),
      batchProcessors: Math.round(processorsOf(runs.filter(({ task }) => !task.step.isPersistent))),
      freeProcessors: Math.round(free.reduce((sum, processors) => sum + processors, 0)),
      largestFreeProcessors: Math.max(0, ...free),
    };
  }
}
