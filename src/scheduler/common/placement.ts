/** Placement policies, which choose a worker for a task. */
import type { Resources } from '../../services/worker/common/resources.js';
import { fitsInto, subtractResources } from '../../services/worker/common/resources.js';

/** A worker that can take tasks, with its free capacity. */
export interface PlacementCandidate {
  readonly workerId: string;
  readonly rack: string;
  readonly incarnation: string;
  readonly capacity: Resources;
  readonly free: Resources;
  /** Numbers of tasks of the same service that are already on the worker and in its rack. */
  readonly sameServiceOnWorkerCount: number;
  readonly sameServiceInRackCount: number;
  /** Predicted slowdown of services after the placement, if known: 0.1 is a tenth slower. */
  readonly predictedSlowdown?: number;
  /** The share of the cell's batch work that could run on this worker without slowing a service. */
  readonly compatibleWorkShare?: number;
}

export interface PlacementRequest {
  readonly size: Resources;
  /** Service tasks are spread over workers; batch tasks are packed. */
  readonly isSpread: boolean;
}

/** Chooses one of the candidates that the task fits into; undefined if it fits into none. */
export interface PlacementPolicy {
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/**
 * Rates each candidate on its own, so that a change to one requires no new rating of the others.
 */
export interface PlacementCosts {
  /** The cost of a candidate that the task fits into. The lowest cost is the best. */
  costOf(request: PlacementRequest, candidate: PlacementCandidate): number;
}

const share = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

/**
 * The share of the worker's processors or memory, whichever is scarcer, that stays free after
 * placing.
 */
const remainingShare = (request: PlacementRequest, candidate: PlacementCandidate): number => {
  const left = subtractResources(candidate.free, request.size);
  return Math.min(
    share(left.processorMillis, candidate.capacity.processorMillis),
    share(left.memoryBytes, candidate.capacity.memoryBytes),
  );
};

const ACCELERATOR_PENALTY = 10;
const WORKER_SPREAD_PENALTY = 100;
const RACK_SPREAD_PENALTY = 5;
/**
 * Penalty for making a service twice as slow: higher than for a shared rack, lower than for a
 * shared worker.
 */
const SLOWDOWN_PENALTY = 20;
/**
 * Keeps work that can run anywhere off workers that suit all kinds, which stay free for other work.
 */
const COMPATIBLE_WORK_PENALTY = 4;

/**
 * Spreads service tasks and packs batch tasks. Designed for a cell of a hundred workers with short
 * batch tasks and long-lived services.
 *
 * - A batch task goes to the worker with the least capacity left over, which keeps large gaps free
 *   for large tasks.
 * - Replicas of a service go to different workers and racks, so that a failed worker or rack takes
 *   few of them down.
 * - Work that needs no accelerator avoids workers that have one. Otherwise accelerators would be
 *   stranded on workers whose processors are full.
 * - A task that slows a service goes to the worker where it slows the service least.
 */
export class SpreadAndPackPolicy implements PlacementPolicy, PlacementCosts {
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    candidates.forEach((candidate) => {
      if (!fitsInto(request.size, candidate.free)) return;
      const cost = this.costOf(request, candidate);
      if (cost >= bestCost) return;
      best = candidate;
      bestCost = cost;
    });
    return best;
  }

  costOf(request: PlacementRequest, candidate: PlacementCandidate): number {
    const wastesAccelerator =
      request.size.acceleratorCount === 0 && candidate.capacity.acceleratorCount > 0;
    const accelerator = wastesAccelerator ? ACCELERATOR_PENALTY : 0;
    const slowdown = (candidate.predictedSlowdown ?? 0) * SLOWDOWN_PENALTY;
    const left = remainingShare(request, candidate);
    const compatibleWorkCost = (candidate.compatibleWorkShare ?? 0) * COMPATIBLE_WORK_PENALTY;
    if (!request.isSpread) return accelerator + slowdown + compatibleWorkCost + left;
    return (
      accelerator +
      slowdown +
      candidate.sameServiceOnWorkerCount * WORKER_SPREAD_PENALTY +
      candidate.sameServiceInRackCount * RACK_SPREAD_PENALTY -
      left
    );
  }
}
