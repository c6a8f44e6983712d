/** Keeps this entry's routing table up to date. */
import { isLeft } from 'fp-ts/lib/Either.js';

import { Emitter } from '../../base/common/event.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { ReadRequest, TableService } from '../../services/table/common/table.js';
import {
  staleEndpointKeys,
  endpointReadRequest,
  type EndpointView,
  NO_ENDPOINTS,
  WHOLE_ENDPOINT_INTERVAL_MS,
  WHOLE_ENDPOINT_PREFIXES,
  withEndpointRows,
} from '../../services/workload/common/endpointView.js';
import { type RoutingTable, toRoutingTable } from '../common/routing.js';

export class RoutingReader implements Disposable {
  readonly #table: TableService;

  readonly #configuration: ConfigurationService;

  readonly #directory: InstanceDirectory;

  readonly #metrics: Metrics;

  readonly #disposables = new DisposableStore();

  readonly #readsPerFullRead: number;

  #endpoints: EndpointView = NO_ENDPOINTS;

  #readCount = 0;

  readonly #didChange = this.#disposables.add(new Emitter<RoutingTable>());

  readonly onDidChange = this.#didChange.event;

  #routes: RoutingTable = new Map();

  constructor(
    table: TableService,
    configuration: ConfigurationService,
    directory: InstanceDirectory,
    metrics: Metrics,
    intervalMs: number,
  ) {
    this.#table = table;
    this.#configuration = configuration;
    this.#directory = directory;
    this.#metrics = metrics;
    this.#readsPerFullRead = Math.ceil(WHOLE_ENDPOINT_INTERVAL_MS / intervalMs);
    this.#disposables.add(configuration.onDidChange(() => this.#rebuild()));
    this.#disposables.add(directory.onDidChange(() => this.#rebuild()));
    this.#disposables.add(new PeriodicTimer(intervalMs, () => this.#read()));
  }

  get routes(): RoutingTable {
    return this.#routes;
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  async #read(): Promise<void> {
    const before = this.#endpoints;
    const isFullRead = this.#readCount % this.#readsPerFullRead === 0;
    const zones = this.#configuration.current?.zones.keys() ?? [];
    const request = isFullRead
      ? { keys: [], prefixes: WHOLE_ENDPOINT_PREFIXES }
      : endpointReadRequest(before, zones);
    if (!(await this.#readRows(request))) return;
    this.#readCount += 1;
    const keys = staleEndpointKeys(this.#endpoints);
    if (keys.length > 0) await this.#readRows({ keys, prefixes: [] });
    if (this.#endpoints.rows !== before.rows) this.#rebuild();
  }

  async #readRows(request: ReadRequest): Promise<boolean> {
    const read = await this.#table.read(request)();
    if (isLeft(read)) {
      this.#metrics.count('endpoint_read_failed');
      return false;
    }
    this.#endpoints = withEndpointRows(this.#endpoints, read.right.rows);
    return true;
  }

  #rebuild(): void {
    const view = this.#configuration.current;
    if (view === undefined) return;
    this.#routes = toRoutingTable(
      view,
      [...this.#endpoints.rows.values()],
      this.#directory.instances,
    );
    this.#didChange.fire(this.#routes);
  }
}
