/** Runs one `CellTask` for each cell in the instance list or the configuration. */
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import { isWorker } from '../../services/instanceList/common/instanceList.js';
import type { Settings } from '../../services/settings/common/settings.js';
import type { LatencySampleSource } from '../../services/worker/common/latencySamples.js';
import { SpreadAndPackPolicy } from '../common/placement.js';
import { CellTask, type CellTaskServices } from './cellTask.js';

/** The extra acquire delay per rank for cells of other zones. It spreads the cells over daemons. */
const FOREIGN_CELL_DELAY_MS = 400;
const FOREIGN_RANK_COUNT = 4;
/** Long enough for some dozens of requests to a server, and far shorter than tasks last. */
const SAMPLE_INTERVAL_MS = 2_000;
const HASH_FACTOR = 31;
const HASH_LIMIT = 2 ** 31;

const hashOf = (text: string): number =>
  [...text].reduce((hash, char) => (hash * HASH_FACTOR + char.charCodeAt(0)) % HASH_LIMIT, 7);

/**
 * The time that this daemon lets others acquire a cell first. It is 0 for the cell of its own zone.
 */
export const acquireDelayMs = (cell: string, ownZone: string, instanceId: string): number => {
  if (cell === ownZone) return 0;
  const rank = 1 + (hashOf(`${cell}/${instanceId}`) % FOREIGN_RANK_COUNT);
  return rank * FOREIGN_CELL_DELAY_MS;
};

export class CellTasks implements Disposable {
  readonly #services: CellTaskServices;

  readonly #settings: Settings;

  readonly #selfId: string;

  readonly #tasks = new Map<string, CellTask>();

  readonly #subscriptions = new DisposableStore();

  readonly #latencies: LatencySampleSource | undefined;

  /**
   * `selfId` identifies this run of the process. Without `latencies`, as in a process that runs no
   * entry, the cells learn nothing about interference.
   */
  constructor(
    services: CellTaskServices,
    settings: Settings,
    selfId: string,
    latencies?: LatencySampleSource,
  ) {
    this.#services = services;
    this.#settings = settings;
    this.#selfId = selfId;
    this.#latencies = latencies;
    this.#subscriptions.add(services.directory.onDidChange(() => this.#addCells()));
    this.#subscriptions.add(services.configuration.onDidChange(() => this.#addCells()));
    this.#subscriptions.add(new PeriodicTimer(SAMPLE_INTERVAL_MS, () => this.#forwardSamples()));
    this.#addCells();
  }

  dispose(): void {
    this.#subscriptions.dispose();
    this.#tasks.forEach((task) => task.dispose());
    this.#tasks.clear();
  }

  #forwardSamples(): void {
    const samples = this.#latencies?.takeSamples(this.#services.clock.nowMs()) ?? [];
    if (samples.length > 0) this.#tasks.forEach((task) => task.handleSamples(samples));
  }

  #addCells(): void {
    const workers = this.#services.directory.instances.filter(isWorker);
    // A zone whose workers have all left the list may still have work that has to move elsewhere.
    const zones = this.#services.configuration.current?.zones.keys() ?? [];
    const cells = new Set([...workers.map(({ availabilityZone }) => availabilityZone), ...zones]);
    cells.forEach((cell) => {
      if (!this.#tasks.has(cell)) this.#tasks.set(cell, this.#createTask(cell));
    });
  }

  #createTask(cell: string): CellTask {
    const { scheduler, availabilityZone, instanceId } = this.#settings;
    const timing = {
      heartbeatIntervalMs: scheduler.cellHeartbeatIntervalMs,
      leaseMs: scheduler.cellLeaseMs,
      acquireDelayMs: acquireDelayMs(cell, availabilityZone, instanceId),
      workerRenewalIntervalMs: scheduler.workerRenewalIntervalMs,
      workerLeaseMs: scheduler.workerLeaseMs,
      startValidityMs: scheduler.startValidityMs,
      serviceDrainMs: scheduler.serviceDrainMs,
      zoneReturnMs: scheduler.zoneReturnMs,
      maximumRenewalWithoutTableMs: scheduler.maximumRenewalWithoutTableMs,
      configurationFreshnessMs: scheduler.startFreshnessMs,
      reportFreshnessMs: scheduler.reportFreshnessMs,
      roundIntervalMs: scheduler.roundIntervalMs,
      rowsPerSecond: scheduler.cellRowsPerSecond,
      maximumRowsPerRound: scheduler.maximumRowsPerRound,
      interference: scheduler.interference,
    };
    const options = {
      cell,
      selfId: this.#selfId,
      timing,
      tickIntervalMs: scheduler.tickIntervalMs,
      workerTimeoutMs: scheduler.workerTimeoutMs,
    };
    return new CellTask(this.#services, options, new SpreadAndPackPolicy());
  }
}
