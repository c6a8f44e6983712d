/** Keeps the records of services, servers and workers in line with the routes. */
import { URGENCY_ORDER, type Urgency } from '../../services/configuration/common/documents.js';
import { connectionShare, pooledShare } from './connectionShare.js';
import { ConcurrencyLimit } from './concurrencyLimit.js';
import { FairQueue, type WaitingRequest } from './fairQueue.js';
import { HedgeBudget, RetryBudget } from './retryBudget.js';
import type { BackendServer, RoutingTable } from './routing.js';
import { ServerRecord, ServiceRecord, WorkerRecord } from './serverRecords.js';

export interface RegistrySettings {
  readonly queueCapacity: number;
  readonly maximumEntryCount: number;
  readonly retryBudgetRatio: number;
  readonly hedgeBudgetRatio: number;
}

export class ServiceRegistry<Waiting extends WaitingRequest> {
  readonly #settings: RegistrySettings;

  readonly #services = new Map<string, ServiceRecord<Waiting>>();

  readonly #workers = new Map<string, WorkerRecord<Waiting>>();

  /** Workers that left the routes while requests were in flight on them. */
  readonly #departed = new Map<string, WorkerRecord<Waiting>>();

  #entryCount = 1;

  constructor(settings: RegistrySettings) {
    this.#settings = settings;
  }

  get services(): readonly ServiceRecord<Waiting>[] {
    return [...this.#services.values()];
  }

  service(name: string): ServiceRecord<Waiting> | undefined {
    return this.#services.get(name);
  }

  /** Must be called when the last request on a worker has ended. */
  forgetDeparted({ workerId }: WorkerRecord<Waiting>): void {
    this.#departed.delete(workerId);
  }

  /**
   * Applies new routes and keeps the records of servers that stay. The number of entries comes from
   * a list that lags behind. This number changes the share of slots that is always granted. It can
   * only lower the limit on connections, compared with the limit that follows from the settings.
   */
  updateRoutes(
    routes: RoutingTable,
    urgencyOf: (serviceName: string) => Urgency,
    entryCount: number,
  ): void {
    this.#entryCount = Math.max(1, entryCount);
    const known = new Map([...this.#departed, ...this.#workers]);
    this.#workers.clear();
    this.#departed.clear();
    routes.forEach((servers) => servers.forEach((server) => this.#retainWorker(server, known)));
    known.forEach((worker, workerId) => {
      if (this.#workers.has(workerId)) return;
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      worker.services = [];
      if (worker.inFlightCount > 0) this.#departed.set(workerId, worker);
    });
    [...this.#services.keys()]
      .filter((name) => !routes.has(name) && this.#services.get(name)?.queue.length === 0)
      .forEach((name) => this.#services.delete(name));
    this.#services.forEach((service) => {
      if (!routes.has(service.name)) this.#setServers(service, []);
    });
    routes.forEach((servers, name) => {
      const service = this.#services.get(name) ?? this.#newService(name, urgencyOf(name), servers);
      service.urgency = urgencyOf(name);
      this.#setServers(service, servers);
    });
    this.#linkSharedServices();
  }

  /** Finds for each service the services on the same workers that are no more or no less urgent. */
  #linkSharedServices(): void {
    this.#services.forEach((service) => {
      const rank = URGENCY_ORDER[service.urgency];
      const related = new Set(service.servers.flatMap(({ worker }) => worker.services));
      related.add(service);
      /* eslint-disable no-param-reassign -- this class owns the record */
      service.servicesNotMoreUrgent = [...related].filter(
        ({ urgency }) => URGENCY_ORDER[urgency] >= rank,
      );
      service.servicesNotLessUrgent = [...related].filter(
        ({ urgency }) => URGENCY_ORDER[urgency] <= rank,
      );
      /* eslint-enable no-param-reassign */
    });
    this.#services.forEach((service) => service.refreshEffectiveLimit());
  }

  #retainWorker(server: BackendServer, known: ReadonlyMap<string, WorkerRecord<Waiting>>): void {
    if (this.#workers.has(server.workerId)) return;
    const worker = known.get(server.workerId) ?? new WorkerRecord<Waiting>(server.workerId);
    worker.inFlightLimit = this.#pooledShare(server);
    worker.services = [];
    this.#workers.set(server.workerId, worker);
  }

  #newService(
    name: string,
    urgency: Urgency,
    servers: readonly BackendServer[],
  ): ServiceRecord<Waiting> {
    const { queueCapacity, retryBudgetRatio, hedgeBudgetRatio } = this.#settings;
    const service = new ServiceRecord<Waiting>(
      name,
      urgency,
      new ConcurrencyLimit(this.#slotShare(servers), this.#maximumLimit(servers)),
      new FairQueue<Waiting>(queueCapacity),
      new RetryBudget(retryBudgetRatio),
      new HedgeBudget(hedgeBudgetRatio),
    );
    this.#services.set(name, service);
    return service;
  }

  #setServers(service: ServiceRecord<Waiting>, servers: readonly BackendServer[]): void {
    const known = new Map(service.servers.map((record) => [record.worker.workerId, record]));
    const records = servers.flatMap((server) => {
      const worker = this.#workers.get(server.workerId);
      if (worker === undefined) return [];
      const kept = known.get(server.workerId);
      const record = kept?.worker === worker ? kept : new ServerRecord<Waiting>(server, worker);
      record.server = server;
      worker.services.push(service);
      return [record];
    });
    // This class owns the record.
    /* eslint-disable no-param-reassign */
    service.servers = records;
    service.occupiedCount = records.reduce((sum, { worker }) => sum + worker.inFlightCount, 0);
    service.slotCount = servers.reduce((sum, { slotCount }) => sum + slotCount, 0);
    /* eslint-enable no-param-reassign */
    service.limit.rescale(this.#slotShare(servers), this.#maximumLimit(servers));
  }

  #slotShare(servers: readonly BackendServer[]): number {
    const slotCount = servers.reduce((sum, server) => sum + server.slotCount, 0);
    return slotCount / this.#entryCount;
  }

  #maximumLimit(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, server) => sum + this.#pooledShare(server), 0);
  }

  #pooledShare(server: BackendServer): number {
    // With more entries than the setting allows for, fixed shares would add up to more connections
    // than the server accepts, and it would refuse some. A smaller share is safe even when the
    // entries hold different lists.
    const entryCount = Math.max(this.#settings.maximumEntryCount, this.#entryCount);
    return pooledShare(connectionShare(server, entryCount));
  }
}
