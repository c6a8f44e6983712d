/** Distributes a job's tasks over the availability zones in use. */
import { hashFraction } from '../../base/common/hash.js';
import {
  InstanceState,
  type WorkerInstance,
} from '../../services/instanceList/common/instanceList.js';
import type { Resources } from '../../services/worker/common/resources.js';
import type { FreshTasks } from './freshTasks.js';

/** How many tasks of a size fit on an empty worker. */
const taskCountOnEmptyWorker = ({ capacity }: WorkerInstance, size: Resources): number => {
  const limits = [
    size.processorMillis === 0 ? Infinity : capacity.processorMillis / size.processorMillis,
    size.memoryBytes === 0 ? Infinity : capacity.memoryBytes / size.memoryBytes,
    size.acceleratorCount === 0 ? Infinity : capacity.acceleratorCount / size.acceleratorCount,
  ].filter(Number.isFinite);
  return limits.length === 0 ? 1 : Math.floor(Math.min(...limits));
};

/**
 * How many tasks of the size fit on each zone's empty workers. Counts live workers; if none of
 * them has room, all workers; if still none has room, all zones get equal weights.
 */
const zoneWeights = (
  workers: readonly WorkerInstance[],
  zones: readonly string[],
  size: Resources,
): readonly number[] => {
  const weightsOf = (usable: readonly WorkerInstance[]): readonly number[] =>
    zones.map((zone) =>
      usable
        .filter(({ availabilityZone }) => availabilityZone === zone)
        .reduce((sum, worker) => sum + taskCountOnEmptyWorker(worker, size), 0),
    );
  const live = weightsOf(workers.filter(({ state }) => state === InstanceState.Live));
  const candidates = [live, weightsOf(workers)];
  return candidates.find((weights) => weights.some((weight) => weight > 0)) ?? zones.map(() => 1);
};

/** The tasks of a job that go to one zone. Their indexes are consecutive. */
export interface ZoneShare extends FreshTasks {
  readonly zone: string;
}

/**
 * Distributes a job's tasks over the zones in proportion to the zones' capacity.
 *
 * Each zone covers an interval whose length is its share of the total capacity. The tasks are
 * spaced evenly over these intervals, from an offset that is a hash of the job's id. Each zone
 * therefore gets its share of every job to within one task, and its share of many small jobs
 * together. Most of the 10,000 jobs a day have few tasks: without the offset, every one-task job
 * went to the first zone's cell, which filled up while the others were idle.
 *
 * Free capacity is not considered, because every submission would have to read the whole ledger
 * for it. Cells hand over tasks to each other later to correct an uneven load. A zone without a
 * worker that is large enough for the task gets no tasks.
 */
export const distributeTasks = (
  jobId: string,
  taskCount: number,
  size: Resources,
  zones: readonly string[],
  workers: readonly WorkerInstance[],
): readonly ZoneShare[] => {
  const weights = zoneWeights(workers, zones, size);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const offset = hashFraction(jobId);
  // A rounding error can place the last task beyond the last interval.
  const lastUsedIndex = weights.findLastIndex((weight) => weight > 0);
  const zoneIndexOf = (taskIndex: number): number => {
    let remaining = ((taskIndex + offset) / taskCount) * totalWeight;
    const zoneIndex = weights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    return zoneIndex < 0 ? lastUsedIndex : zoneIndex;
  };
  const firstIndexes = new Map<number, number>();
  for (let taskIndex = 0; taskIndex < taskCount; taskIndex += 1) {
    const zoneIndex = zoneIndexOf(taskIndex);
    if (!firstIndexes.has(zoneIndex)) firstIndexes.set(zoneIndex, taskIndex);
  }
  return [...firstIndexes].map(([zoneIndex, firstIndex], position, entries) => ({
    zone: zones[zoneIndex] as string,
    firstIndex,
    count: (entries[position + 1]?.[1] ?? taskCount) - firstIndex,
  }));
};
