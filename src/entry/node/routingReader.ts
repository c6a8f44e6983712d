/** Keeps the routing table of this entry up to date. */
import { isLeft } from 'fp-ts/lib/Either.js';

import { Emitter } from '../../base/common/event.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { ConfigurationService } from '../../platform/configuration/common/configurationService.js';
import type { InstanceDirectory } from '../../platform/instanceList/common/instanceDirectory.js';
import type { Metrics } from '../../platform/metrics/common/metrics.js';
import type { TableService } from '../../platform/table/common/table.js';
import {
  ENDPOINT_PREFIX,
  type EndpointRow,
  endpointRowSchema,
} from '../../platform/workload/common/workRows.js';
import { type RoutingTable, toRoutingTable } from '../common/routing.js';

export class RoutingReader implements Disposable {
  readonly #table: TableService;

  readonly #configuration: ConfigurationService;

  readonly #directory: InstanceDirectory;

  readonly #metrics: Metrics;

  readonly #disposables = new DisposableStore();

  readonly #rowVersions = new Map<string, number>();

  readonly #rows = new Map<string, EndpointRow>();

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
    const read = await this.#table.read({ keys: [], prefixes: [ENDPOINT_PREFIX] })();
    if (isLeft(read)) {
      this.#metrics.count('endpoint_read_failed');
      return;
    }
    const newer = read.right.rows.filter(
      (row) => row.version > (this.#rowVersions.get(row.key) ?? 0),
    );
    if (newer.length === 0) return;
    newer.forEach((row) => {
      this.#rowVersions.set(row.key, row.version);
      this.#rows.set(row.key, endpointRowSchema.parse(row.value));
    });
    this.#rebuild();
  }

  #rebuild(): void {
    const view = this.#configuration.current;
    if (view === undefined) return;
    this.#routes = toRoutingTable(view, [...this.#rows.values()], this.#directory.instances);
    this.#didChange.fire(this.#routes);
  }
}
