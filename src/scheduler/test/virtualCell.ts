/**
 * One cell in virtual time: several daemons' state machines over one table and stand-ins of
 * workers, with message delays from a seed and faults that a test switches on.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';

import { SeededRandom } from '../../base/common/random.js';
import { toConfigurationView } from '../../platform/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY } from '../../platform/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../platform/instanceList/common/instanceList.js';
import type { Transaction, TransactionResult } from '../../platform/table/common/table.js';
import type { Resources } from '../../platform/worker/common/resources.js';
import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { Judge } from '../../../standIns/workers/judge.js';
import { WorkerStandIn } from '../../../standIns/workers/workerStandIn.js';
import { decide, initialCellState } from '../common/cellScheduler.js';
import type { CellEffect, CellEvent, CellState, CellTiming } from '../common/cellState.js';
import { SpreadAndPackPolicy } from '../common/placement.js';

export const CELL = 'zone-a';
export const GIBIBYTE = 1024 ** 3;

export const TEST_TIMING: CellTiming = {
  heartbeatIntervalMs: 700,
  leaseMs: 2_500,
  acquireDelayMs: 0,
  workerRenewalIntervalMs: 1_000,
  workerLeaseMs: 10_000,
  startValidityMs: 1_000,
  serviceDrainMs: 4_000,
  maximumRenewalWithoutTableMs: 60_000,
  configurationFreshnessMs: 1_000,
  reportFreshnessMs: 3_000,
};

const TICK_MS = 200;
const CONFIGURATION_INTERVAL_MS = 700;
const MAXIMUM_DELAY_MS = 20;
const CALL_TIMEOUT_MS = 800;

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** One daemon's state for the cell, with the faults it can have. */
export interface VirtualDaemon {
  readonly id: string;
  state: CellState;
  isAlive: boolean;
  /** Paused daemons keep what arrives and take it in when they go on. */
  isPaused: boolean;
  isCutFromTable: boolean;
  readonly inbox: CellEvent[];
}

export interface VirtualCellOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly capacity: Resources;
}

export class VirtualCell {
  readonly table = new TableStandIn();

  readonly judge: Judge;

  readonly workers = new Map<string, WorkerStandIn>();

  readonly instances: WorkerInstance[] = [];

  readonly daemons: VirtualDaemon[] = [];

  readonly logs: string[] = [];

  readonly counters = new Map<string, number>();

  /** Workers that no message reaches. */
  readonly cutWorkers = new Set<string>();

  isTableDown = false;

  /** The share of transactions whose answer is lost after they took effect. */
  lostAnswerRatio = 0;

  nowMs = 0;

  readonly #random: SeededRandom;

  readonly #capacity: Resources;

  #queue: Scheduled[] = [];

  #order = 0;

  constructor(options: VirtualCellOptions) {
    this.#random = new SeededRandom(options.seed);
    this.#capacity = options.capacity;
    const ids = Array.from({ length: options.workerCount }, (_, index) => `w${index}`);
    this.judge = new Judge(new Map(ids.map((id) => [id, CELL])), 3_000);
    ids.forEach((id, index) => this.#addWorker(id, index));
  }

  /** Writes a configuration or work row as a confirmed plan would. */
  writeRow(key: string, value: unknown): void {
    const version = this.#configurationVersion() + 1;
    this.table.transact({
      operationId: `test-${this.#order}`,
      conditions: [],
      writes: [
        { key, value: value as never },
        { key: VERSION_KEY, value: { version } },
        { key: `cell/${CELL}/inbox`, value: { version } },
      ],
    });
  }

  addDaemon(id: string): VirtualDaemon {
    const daemon: VirtualDaemon = {
      id,
      state: initialCellState(CELL, id, TEST_TIMING, this.nowMs),
      isAlive: true,
      isPaused: false,
      isCutFromTable: false,
      inbox: [],
    };
    this.daemons.push(daemon);
    this.#deliver(daemon, { kind: 'instances', workers: this.instances });
    this.#every(TICK_MS, daemon, () => this.#deliver(daemon, { kind: 'tick' }));
    this.#every(CONFIGURATION_INTERVAL_MS, daemon, () => this.#readConfiguration(daemon));
    return daemon;
  }

  /** The daemon that owns the cell now, as far as it knows itself. */
  owner(): VirtualDaemon | undefined {
    return this.daemons.find(({ isAlive, state }) => isAlive && state.lease.isOwner);
  }

  resume(daemon: VirtualDaemon): void {
    // The record is the harness's own.
    // eslint-disable-next-line no-param-reassign
    daemon.isPaused = false;
    daemon.inbox.splice(0).forEach((event) => this.#deliver(daemon, event));
  }

  /** Replaces a worker by one that remembers nothing, as after a restart. */
  restartWorker(id: string): void {
    const old = this.workers.get(id);
    if (old === undefined) return;
    old.advance(Number.POSITIVE_INFINITY);
    this.workers.set(id, this.#createWorker(id, `${id}@${this.nowMs}`));
  }

  runFor(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.#takeNext(endMs);
      if (next === undefined) break;
      this.nowMs = next.atMs;
      this.workers.forEach((worker) => worker.advance(this.nowMs));
      next.run();
    }
    this.nowMs = endMs;
    this.workers.forEach((worker) => worker.advance(this.nowMs));
  }

  #addWorker(id: string, index: number): void {
    this.workers.set(id, this.#createWorker(id, `${id}@0`));
    this.instances.push({
      kind: 'worker',
      id,
      availabilityZone: CELL,
      rack: `r${Math.floor(index / 8)}`,
      state: 'live',
      controlAddress: { host: '127.0.0.1', port: 1 },
      backendAddress: { host: '127.0.0.1', port: 1 },
      capacity: this.#capacity,
      slotCount: 8,
      connectionCount: 64,
    });
  }

  #createWorker(id: string, incarnation: string): WorkerStandIn {
    return new WorkerStandIn(id, incarnation, this.#capacity, (event) =>
      this.judge.note(event, this.nowMs),
    );
  }

  #takeNext(endMs: number): Scheduled | undefined {
    let bestIndex = -1;
    this.#queue.forEach((item, index) => {
      if (item.atMs > endMs) return;
      const best = this.#queue[bestIndex];
      const isEarlier =
        best === undefined ||
        item.atMs < best.atMs ||
        (item.atMs === best.atMs && item.order < best.order);
      if (isEarlier) bestIndex = index;
    });
    return bestIndex < 0 ? undefined : this.#queue.splice(bestIndex, 1)[0];
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ atMs: this.nowMs + delayMs, order: this.#order, run });
  }

  #every(intervalMs: number, daemon: VirtualDaemon, run: () => void): void {
    const step = (): void => {
      if (!daemon.isAlive) return;
      // A paused process's timers do not fire.
      if (!daemon.isPaused) run();
      this.#schedule(intervalMs, step);
    };
    this.#schedule(this.#random.nextIndex(intervalMs), step);
  }

  #delayMs(): number {
    return 1 + this.#random.nextIndex(MAXIMUM_DELAY_MS);
  }

  #deliver(daemon: VirtualDaemon, event: CellEvent): void {
    if (!daemon.isAlive) return;
    if (daemon.isPaused) {
      daemon.inbox.push(event);
      return;
    }
    const decision = decide(daemon.state, event, new SpreadAndPackPolicy(), this.nowMs);
    // eslint-disable-next-line no-param-reassign
    daemon.state = decision.state;
    decision.effects.forEach((effect) => this.#perform(daemon, effect));
  }

  #perform(daemon: VirtualDaemon, effect: CellEffect): void {
    const sentAtMs = this.nowMs;
    switch (effect.kind) {
      case 'lease-read':
        this.#callTable(
          daemon,
          () => right(this.table.read(effect.request)),
          (result) => ({ kind: 'lease-read', result, sentAtMs }),
        );
        break;
      case 'lease-write':
        this.#callTable(
          daemon,
          () => this.#transact(effect.transaction),
          (result) => ({ kind: 'lease-written', step: effect.step, result, sentAtMs }),
        );
        break;
      case 'load':
        this.#callTable(
          daemon,
          () => right(this.table.read(effect.request)),
          (result) => ({ kind: 'loaded', result }),
        );
        break;
      case 'commit':
        this.#callTable(
          daemon,
          () => this.#transact(effect.transaction),
          (result) => ({ kind: 'committed', result }),
        );
        break;
      case 'command':
        this.#command(daemon, effect);
        break;
      case 'count':
        this.counters.set(effect.counter, (this.counters.get(effect.counter) ?? 0) + effect.amount);
        break;
      default:
        this.logs.push(`${Math.round(this.nowMs)} ${daemon.id} ${effect.event}`);
    }
  }

  /** A call that reaches the table after a delay and whose answer takes another. */
  #callTable<Answer>(
    daemon: VirtualDaemon,
    run: () => Either<Failure, Answer>,
    toEvent: (result: Either<Failure, Answer>) => CellEvent,
  ): void {
    if (this.isTableDown || daemon.isCutFromTable) {
      const result = left(failure(ErrorKind.StoreUnavailable, 'down'));
      this.#schedule(CALL_TIMEOUT_MS, () => this.#deliver(daemon, toEvent(result)));
      return;
    }
    this.#schedule(this.#delayMs(), () => {
      const result = run();
      this.#schedule(this.#delayMs(), () => this.#deliver(daemon, toEvent(result)));
    });
  }

  #transact(transaction: Transaction): Either<Failure, TransactionResult> {
    const result = this.table.transact(transaction);
    const isLost = this.#random.nextFraction() < this.lostAnswerRatio;
    return isLost ? left(failure(ErrorKind.StoreAnswerLost, 'lost')) : right(result);
  }

  #command(daemon: VirtualDaemon, effect: CellEffect & { readonly kind: 'command' }): void {
    const { workerId, command } = effect;
    const answer = (event: CellEvent): void => this.#deliver(daemon, event);
    this.#schedule(this.#delayMs(), () => {
      const worker = this.workers.get(workerId);
      if (worker === undefined || this.cutWorkers.has(workerId)) {
        const result = left(failure(ErrorKind.WorkerUnavailable, 'cut'));
        this.#schedule(CALL_TIMEOUT_MS, () =>
          answer({ kind: 'worker-answered', workerId, result }),
        );
        return;
      }
      const report = worker.command(command, this.nowMs);
      this.#schedule(this.#delayMs(), () =>
        answer({ kind: 'worker-answered', workerId, result: right(report) }),
      );
    });
  }

  #configurationVersion(): number {
    const [row] = this.table.read({ keys: [VERSION_KEY], prefixes: [] }).rows;
    return row === undefined ? 0 : (row.value as { version: number }).version;
  }

  #readConfiguration(daemon: VirtualDaemon): void {
    if (this.isTableDown || daemon.isCutFromTable) return;
    const sentAtMs = this.nowMs;
    const { rows } = this.table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] });
    const configuration = { view: toConfigurationView(rows), confirmedAtMs: sentAtMs };
    this.#schedule(this.#delayMs(), () =>
      this.#deliver(daemon, { kind: 'configuration', configuration }),
    );
  }
}
