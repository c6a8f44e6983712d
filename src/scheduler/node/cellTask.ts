/** Runs the state machine of one cell. Owns its timer, its table calls and its worker clients. */
import type { Clock } from '../../base/common/clock.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import { CallGuard } from '../../services/errors/common/callGuard.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import { isWorker, toOrigin } from '../../services/instanceList/common/instanceList.js';
import type { Log } from '../../services/log/common/log.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { TableService } from '../../services/table/common/table.js';
import type { Tracing } from '../../services/tracing/common/tracing.js';
import type { LatencySample } from '../../services/worker/common/latencySamples.js';
import type { WorkerClient } from '../../services/worker/common/workerClient.js';
import { toCellCall } from '../common/cellCalls.js';
import { decide, initialCellState } from '../common/cellScheduler.js';
import type { CellEffect, CellEvent, CellState, CellTiming } from '../common/cellState.js';
import type { PlacementPolicy } from '../common/placement.js';
import { WorkerClients } from './workerClients.js';

export interface CellTaskServices {
  readonly table: TableService;
  readonly configuration: ConfigurationService;
  readonly directory: InstanceDirectory;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

export interface CellTaskOptions {
  readonly cell: string;
  readonly selfId: string;
  readonly timing: CellTiming;
  readonly tickIntervalMs: number;
  readonly workerTimeoutMs: number;
}

export class CellTask implements Disposable {
  readonly #services: CellTaskServices;

  readonly #options: CellTaskOptions;

  readonly #policy: PlacementPolicy;

  readonly #disposables = new DisposableStore();

  readonly #clients: WorkerClients;

  readonly #guard: CallGuard;

  #state: CellState;

  constructor(services: CellTaskServices, options: CellTaskOptions, policy: PlacementPolicy) {
    this.#services = services;
    this.#options = options;
    this.#policy = policy;
    this.#clients = new WorkerClients(options.workerTimeoutMs, services.tracing);
    this.#guard = new CallGuard(services);
    const nowMs = services.clock.nowMs();
    this.#state = initialCellState(options.cell, options.selfId, options.timing, nowMs);
    this.#disposables.add(services.directory.onDidChange(() => this.#handleInstances()));
    this.#disposables.add(services.configuration.onDidChange(() => this.#handleConfiguration()));
    this.#handleInstances();
    this.#disposables.add(new PeriodicTimer(options.tickIntervalMs, () => this.#handleTick()));
  }

  get isOwner(): boolean {
    return this.#state.lease.isOwner;
  }

  dispose(): void {
    this.#disposables.dispose();
    this.#clients.dispose();
  }

  handleSamples(samples: readonly LatencySample[]): void {
    this.#handle({ kind: 'latency-measured', samples });
  }

  #handleTick(): void {
    this.#handleConfiguration();
    this.#handle({ kind: 'tick' });
    this.#services.metrics.gauge('cell_is_owned', this.isOwner ? 1 : 0, {
      cell: this.#options.cell,
    });
  }

  #handleConfiguration(): void {
    const { current, confirmedAtMs } = this.#services.configuration;
    if (current === undefined) return;
    this.#handle({ kind: 'configuration', configuration: { view: current, confirmedAtMs } });
  }

  #handleInstances(): void {
    const workers = this.#services.directory.instances.filter(isWorker);
    this.#handle({ kind: 'instances', workers });
    this.#clients.retain(this.#state.workers);
  }

  #handle(event: CellEvent): void {
    if (this.#disposables.isDisposed) return;
    const decision = decide(this.#state, event, this.#policy, this.#services.clock.nowMs());
    this.#state = decision.state;
    decision.effects.forEach((effect) => void this.#perform(effect));
  }

  async #perform(effect: CellEffect): Promise<void> {
    const { table, clock } = this.#services;
    const guard = this.#guard;
    const call = toCellCall(effect, clock.nowMs());
    switch (call?.kind) {
      case 'read':
        this.#handle(call.toEvent(await guard.run('read', () => table.read(call.request)())));
        break;
      case 'transact':
        this.#handle(
          call.toEvent(await guard.run('transact', () => table.transact(call.transaction)())),
        );
        break;
      case 'command':
        this.#handle(
          call.toEvent(
            await guard.run('command', () => this.#client(call.workerId).command(call.command)()),
          ),
        );
        break;
      default:
        this.#record(effect);
    }
  }

  #record(effect: CellEffect): void {
    const { log, metrics } = this.#services;
    const { cell } = this.#options;
    if (effect.kind === 'count' && effect.amount > 0) {
      metrics.count(effect.counter, { cell }, effect.amount);
    }
    if (effect.kind === 'log') log.info(effect.event, { cell });
  }

  #client(workerId: string): WorkerClient {
    const view = this.#state.workers.get(workerId);
    const origin = view === undefined ? '' : toOrigin(view.instance.controlAddress);
    return this.#clients.client(workerId, origin);
  }
}
