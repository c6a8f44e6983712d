/** Computes the backend servers that may receive the requests of each service. */
import {
  type ConfigurationView,
  isZoneInUse,
} from '../../services/configuration/common/configurationView.js';
import {
  type Instance,
  InstanceState,
  isWorker,
  toOrigin,
  type WorkerInstance,
} from '../../services/instanceList/common/instanceList.js';
import type { EndpointRow } from '../../services/workload/common/workRows.js';

/** A backend server as an entry sees it. A worker has one, for all its services. */
export interface BackendServer {
  readonly workerId: string;
  readonly origin: string;
  readonly availabilityZone: string;
  readonly slotCount: number;
  readonly connectionCount: number;
}

/** Backend servers by service name; a known service may have none. */
export type RoutingTable = ReadonlyMap<string, readonly BackendServer[]>;

const toBackendServer = (worker: WorkerInstance): BackendServer => ({
  workerId: worker.id,
  origin: toOrigin(worker.backendAddress),
  availabilityZone: worker.availabilityZone,
  slotCount: worker.slotCount,
  connectionCount: worker.connectionCount,
});

const isUsable = (view: ConfigurationView, worker: WorkerInstance): boolean =>
  worker.state === InstanceState.Live &&
  isZoneInUse(view, worker.availabilityZone) &&
  view.workers.get(worker.id)?.isDraining !== true;

/**
 * Combines the endpoints that the schedulers published with the configuration and the instance
 * list. Each of the three can be the first to show that a server is leaving, so a server must be
 * usable by all three.
 */
export const toRoutingTable = (
  view: ConfigurationView,
  endpointRows: readonly EndpointRow[],
  instances: readonly Instance[],
): RoutingTable => {
  const workers = new Map(
    instances
      .filter(isWorker)
      .filter((worker) => isUsable(view, worker))
      .map((worker) => [worker.id, toBackendServer(worker)]),
  );
  const table = new Map<string, BackendServer[]>(
    [...view.services.keys()].map((serviceName) => [serviceName, []]),
  );
  endpointRows
    .flatMap((row) => row.servers)
    .forEach(({ serviceName, workerId }) => {
      const server = workers.get(workerId);
      const servers = table.get(serviceName);
      if (server === undefined || servers === undefined || servers.includes(server)) return;
      servers.push(server);
    });
  return table;
};
