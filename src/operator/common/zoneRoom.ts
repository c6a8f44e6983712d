/** Computes how many tasks fit into an availability zone. */
import {
  type ConfigurationView,
  isZoneInUse,
} from '../../services/configuration/common/configurationView.js';
import { InstanceState } from '../../services/instanceList/common/instanceList.js';
import {
  fitsInto,
  multipliedResources,
  type Resources,
  subtractResources,
  sumResources,
} from '../../services/worker/common/resources.js';
import type { PlanningBasis } from './planningBasis.js';
import type { ServiceTotals } from './serviceTotals.js';

/** Capacity of each worker of a zone that may start tasks; empty if the zone is not in use. */
export const capacityOfZone = (
  basis: PlanningBasis,
  view: ConfigurationView,
  zone: string,
): readonly Resources[] =>
  isZoneInUse(view, zone)
    ? basis.workers
        .filter((worker) => worker.availabilityZone === zone && worker.state === InstanceState.Live)
        .filter((worker) => view.workers.get(worker.id)?.isDraining !== true)
        .map((worker) => worker.capacity)
    : [];

const fittingTaskCount = (size: Resources, free: Resources, wanted: number): number => {
  const limits = [
    size.processorMillis === 0 ? wanted : free.processorMillis / size.processorMillis,
    size.memoryBytes === 0 ? wanted : free.memoryBytes / size.memoryBytes,
    size.acceleratorCount === 0 ? wanted : free.acceleratorCount / size.acceleratorCount,
  ];
  return Math.max(0, Math.min(wanted, ...limits.map(Math.floor)));
};

/**
 * Number of service replicas that have no room in a zone. Urgent services come first, and batch
 * tasks make room for services. Free capacity is summed over the zone's workers and fragmentation
 * is ignored, so the result is a lower bound. A service whose task size exceeds every single
 * worker counts with all its replicas.
 */
export const missingReplicaCount = (
  totals: ServiceTotals,
  zone: string,
  workers: readonly Resources[],
): number => {
  let free = sumResources(workers);
  const isEverySizePlaceable = totals.sizes.every((size) =>
    workers.some((capacity) => fitsInto(size, capacity)),
  );
  // If the sum fits, every service has room, and the services need not be checked one by one.
  if (isEverySizePlaceable && fitsInto(totals.inZone(zone), free)) return 0;
  return totals.byUrgency.reduce((missing, { name, size }) => {
    const wanted = totals.replicas(name, zone);
    if (wanted === 0) return missing;
    const isPlaceable = workers.some((capacity) => fitsInto(size, capacity));
    const placed = isPlaceable ? fittingTaskCount(size, free, wanted) : 0;
    free = subtractResources(free, multipliedResources(size, placed));
    return missing + wanted - placed;
  }, 0);
};

/** Upper bound of the tasks of a size that a zone has room for in addition to its services. */
export const taskRoom = (
  size: Resources,
  totals: ServiceTotals,
  zone: string,
  workers: readonly Resources[],
  wanted: number,
): number => {
  const free = subtractResources(sumResources(workers), totals.inZone(zone));
  const placeable = workers.reduce((sum, one) => sum + fittingTaskCount(size, one, wanted), 0);
  return Math.min(placeable, fittingTaskCount(size, free, wanted));
};
