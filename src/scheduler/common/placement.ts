/** Chooses a worker for a task. */
import type { Resources } from '../../services/worker/common/resources.js';
import { fitsInto, subtractResources } from '../../services/worker/common/resources.js';

/** A worker that may take tasks, with what is left on it. */
export interface PlacementCandidate {
  readonly workerId: string;
  readonly rack: string;
  readonly incarnation: string;
  readonly capacity: Resources;
  readonly free: Resources;
  /** Tasks of the same service already on the worker and in its rack. */
  readonly sameServiceOnWorkerCount: number;
  readonly sameServiceInRackCount: number;
  /** How much slower services would be after placing, when something is known of it. */
  readonly predictedSlowdown?: number;
  /** The part of the cell's batch work that could run here without slowing a service. */
  readonly compatibleWorkShare?: number;
}

export interface PlacementRequest {
  readonly size: Resources;
  /** Tasks of services are spread, batch tasks are packed. */
  readonly isSpread: boolean;
}

/** A policy that picks one of the candidates, all of which the task fits into. */
export interface PlacementPolicy {
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/** Rates the candidates one by one, so that a change of one need not rate the others again. */
export interface PlacementCosts {
  /** Lower is better, among candidates that the task fits into. */
  costOf(request: PlacementRequest, candidate: PlacementCandidate): number;
}

const share = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

/** The share left of the scarcest of processors and memory after placing. */
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
/** For a service made twice as slow: more than a shared rack, less than a shared worker. */
const SLOWDOWN_PENALTY = 20;
/** Work that may run anywhere leaves the workers that are open to all kinds to the others. */
const COMPATIBLE_WORK_PENALTY = 4;

/**
 * Made for a cell of a hundred workers with short batch tasks and long-lived services. Batch
 * tasks go where least is left over, which keeps large gaps for large tasks; services go apart,
 * so that one worker or rack takes few of their replicas along. Work that needs no accelerator
 * keeps off workers that have one, which would otherwise be stranded behind full processors.
 * A task that slows a service goes to the worker where it slows least.
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
