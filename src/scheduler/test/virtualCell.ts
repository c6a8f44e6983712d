/**
 * Simulates one or more cells in virtual time: the state machines of several daemons with one table
 * and stand-ins of workers. Message delays come from a seed, and tests switch on faults.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';

import { SeededRandom } from '../../base/common/random.js';
import { toConfigurationView } from '../../services/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY } from '../../services/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type { Transaction, TransactionResult } from '../../services/table/common/table.js';
import type { Resources } from '../../services/worker/common/resources.js';
import type { WorkerCommand, WorkerReport } from '../../services/worker/common/workerClient.js';
import { nextInboxValue } from '../../services/workload/common/inbox.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import type { LatencySample } from '../../services/worker/common/latencySamples.js';
import { VirtualTime } from '../../../bench/virtualTime.js';
import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { Judge } from '../../../standIns/workers/judge.js';
import { WorkerStandIn } from '../../../standIns/workers/workerStandIn.js';
import { type CellCall, toCellCall } from '../common/cellCalls.js';
import { decide, initialCellState } from '../common/cellScheduler.js';
import type { CellEffect, CellEvent, CellState, CellTiming } from '../common/cellState.js';
import { type PlacementPolicy, SpreadAndPackPolicy } from '../common/placement.js';

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
  zoneReturnMs: 10_000,
  maximumRenewalWithoutTableMs: 60_000,
  configurationFreshnessMs: 1_500,
  roundIntervalMs: 100,
  rowsPerSecond: 60,
  maximumRowsPerRound: 120,
  reportFreshnessMs: 3_000,
  interference: settingsSchema.shape.scheduler.parse({}).interference,
};

const TICK_MS = 200;
const CONFIGURATION_INTERVAL_MS = 700;
const MAXIMUM_DELAY_MS = 20;
const CALL_TIMEOUT_MS = 800;
/** How long starts may continue after a withdrawal, as stated in docs/operations/SCHEDULING.md. */
const WITHDRAWAL_BOUND_MS = 2_700;
const DAEMON_CLOCK_STEP_MS = 5_000_011;
const WORKER_CLOCK_STEP_MS = 1_000_003;
const MAXIMUM_LATENESS_MS = 6_000;

/** The state of one daemon for the cell, with its possible faults. */
export interface VirtualDaemon {
  readonly id: string;
  state: CellState;
  isAlive: boolean;
  /** A paused daemon queues events and processes them when it resumes. */
  isPaused: boolean;
  isCutFromTable: boolean;
  /** Whether its configuration reads fail while its other table calls succeed. */
  isConfigurationUnreadable: boolean;
  readonly inbox: CellEvent[];
  /** The offset of its monotonic clock from virtual time. It differs between daemons. */
  readonly clockOffsetMs: number;
  /** The number of calls performed so far. The daemon dies after call number `diesAfterEffect`. */
  effectCount: number;
  diesAfterEffect: number;
}

export interface VirtualCellOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly capacity: Resources;
  readonly timing?: Partial<CellTiming>;
  /** The zones to which the workers belong in turn; only `CELL` if undefined. */
  readonly zones?: readonly string[];
}

export class VirtualCell {
  readonly table = new TableStandIn();

  readonly judge: Judge;

  readonly workers = new Map<string, WorkerStandIn>();

  readonly instances: WorkerInstance[] = [];

  readonly daemons: VirtualDaemon[] = [];

  readonly logs: string[] = [];

  readonly counters = new Map<string, number>();

  /** Ids of the workers that no command reaches. */
  readonly unreachableWorkers = new Set<string>();

  isTableDown = false;

  /** The share of transactions whose answer is lost after the table has processed them. */
  lostAnswerRatio = 0;

  /** Selects transactions to delay: their answer is lost, and they reach the table on release. */
  shouldDelayTransaction: ((transaction: Transaction) => boolean) | undefined;

  readonly delayedTransactions: Transaction[] = [];

  /** The share of worker answers that are lost after the command was executed. */
  lostCommandAnswerRatio = 0;

  /** The share of commands that reach their worker after the daemon's call has timed out. */
  lateCommandRatio = 0;

  /** How much longer than usual every table call takes. */
  tableSlownessMs = 0;

  /** The placement policy. A test may replace it by a faulty one. */
  policy: PlacementPolicy = new SpreadAndPackPolicy();

  readonly timing: CellTiming;

  readonly #time = new VirtualTime();

  readonly #random: SeededRandom;

  readonly #capacity: Resources;

  readonly #zones: readonly string[];

  constructor(options: VirtualCellOptions) {
    this.#random = new SeededRandom(options.seed);
    this.#capacity = options.capacity;
    this.timing = { ...TEST_TIMING, ...options.timing };
    this.#zones = options.zones ?? [CELL];
    const ids = Array.from({ length: options.workerCount }, (_, index) => `w${index}`);
    const zoneOf = new Map(ids.map((id, index) => [id, this.#zoneOf(index)]));
    this.judge = new Judge(zoneOf, WITHDRAWAL_BOUND_MS);
    ids.forEach((id, index) => this.#addWorker(id, index));
  }

  get nowMs(): number {
    return this.#time.nowMs;
  }

  /** Writes a configuration or work row as a confirmed plan would. */
  writeRow(key: string, value: unknown): void {
    const version = this.#configurationVersion() + 1;
    this.table.transact({
      operationId: `test-${version}`,
      conditions: [],
      writes: [
        { key, value: value as never },
        { key: VERSION_KEY, value: { version } },
        ...this.#zones.map((zone) => ({ key: `cell/${zone}/inbox`, value: { version } })),
      ],
    });
  }

  /** Writes work rows as a confirmed plan does, and lists their keys in the owner's inbox. */
  addRows(rows: readonly { readonly key: string; readonly value: unknown }[]): void {
    const inboxKey = `cell/${CELL}/inbox`;
    const [inbox] = this.table.read({ keys: [inboxKey], prefixes: [] }).rows;
    const operationId = `added-${rows[0]?.key}`;
    const keys = rows.map(({ key }) => key);
    this.table.transact({
      operationId,
      conditions: [],
      writes: [
        ...rows.map(({ key, value }) => ({ key, value: value as never })),
        { key: inboxKey, value: nextInboxValue(inbox, operationId, keys) },
      ],
    });
  }

  addDaemon(id: string, zone = CELL): VirtualDaemon {
    const clockOffsetMs = (this.daemons.length + 1) * DAEMON_CLOCK_STEP_MS;
    const daemon: VirtualDaemon = {
      id,
      clockOffsetMs,
      state: initialCellState(zone, id, this.timing, this.nowMs + clockOffsetMs),
      isAlive: true,
      isPaused: false,
      isCutFromTable: false,
      isConfigurationUnreadable: false,
      inbox: [],
      effectCount: 0,
      diesAfterEffect: Number.POSITIVE_INFINITY,
    };
    this.daemons.push(daemon);
    this.#deliver(daemon, { kind: 'instances', workers: this.instances });
    this.#runEvery(TICK_MS, daemon, () => this.#deliver(daemon, { kind: 'tick' }));
    this.#runEvery(CONFIGURATION_INTERVAL_MS, daemon, () => this.#readConfiguration(daemon));
    return daemon;
  }

  /**
   * Delivers a new instance list to all daemons in which one worker is changed or, if null,
   * removed.
   */
  updateInstance(id: string, change: Partial<WorkerInstance> | null): void {
    const index = this.instances.findIndex((instance) => instance.id === id);
    const [instance] = this.instances.splice(index, 1);
    if (instance !== undefined && change !== null) {
      this.instances.splice(index, 0, { ...instance, ...change });
    }
    this.daemons.forEach((daemon) =>
      this.#deliver(daemon, { kind: 'instances', workers: [...this.instances] }),
    );
  }

  /** Delivers latency samples with virtual times to all daemons. */
  deliverLatencySamples(samples: readonly LatencySample[]): void {
    this.daemons.forEach((daemon) => {
      const { clockOffsetMs } = daemon;
      const own = samples.map((sample) => ({
        ...sample,
        startedAtMs: sample.startedAtMs + clockOffsetMs,
        endedAtMs: sample.endedAtMs + clockOffsetMs,
      }));
      this.#deliver(daemon, { kind: 'latency-measured', samples: own });
    });
  }

  /** Sets whether the object store is down, so that workers cannot write checkpoints. */
  setObjectStoreDown(isDown: boolean): void {
    this.workers.forEach((worker) => {
      // The test harness mutates its own record.
      // eslint-disable-next-line no-param-reassign
      worker.isObjectStoreDown = isDown;
    });
  }

  count(counter: string): number {
    return this.counters.get(counter) ?? 0;
  }

  /** The live daemon that considers itself the owner of the cell. */
  owner(zone = CELL): VirtualDaemon | undefined {
    return this.daemons.find(
      ({ isAlive, state }) => isAlive && state.lease.isOwner && state.cell === zone,
    );
  }

  resume(daemon: VirtualDaemon): void {
    // The test harness mutates its own record.
    // eslint-disable-next-line no-param-reassign
    daemon.isPaused = false;
    daemon.inbox.splice(0).forEach((event) => this.#deliver(daemon, event));
  }

  /** Replaces a worker by one without any state, as after a restart. */
  restartWorker(id: string): void {
    const old = this.workers.get(id);
    if (old === undefined) return;
    old.advance(Number.POSITIVE_INFINITY);
    this.workers.set(id, this.#createWorker(id, `${id}@${this.nowMs}`));
  }

  runFor(durationMs: number): void {
    this.#time.runUntil(this.nowMs + durationMs);
    this.#advanceWorkers();
  }

  #advanceWorkers(): void {
    this.workers.forEach((worker, id) => worker.advance(this.#workerNowMs(id)));
  }

  /** The time on the worker's own clock. */
  #workerNowMs(workerId: string): number {
    return this.nowMs + (1 + Number(workerId.slice(1))) * WORKER_CLOCK_STEP_MS;
  }

  #addWorker(id: string, index: number): void {
    this.workers.set(id, this.#createWorker(id, `${id}@0`));
    this.instances.push({
      kind: 'worker',
      id,
      availabilityZone: this.#zoneOf(index),
      rack: `r${Math.floor(index / 8)}`,
      state: 'live',
      controlAddress: { host: '127.0.0.1', port: 1 },
      backendAddress: { host: '127.0.0.1', port: 1 },
      capacity: this.#capacity,
      slotCount: 8,
      connectionCount: 64,
    });
  }

  #zoneOf(index: number): string {
    return this.#zones[index % this.#zones.length] as string;
  }

  #createWorker(id: string, incarnation: string): WorkerStandIn {
    return new WorkerStandIn(id, incarnation, this.#capacity, (event) =>
      this.judge.note(event, this.nowMs),
    );
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#time.after(delayMs, () => {
      this.#advanceWorkers();
      run();
    });
  }

  #runEvery(intervalMs: number, daemon: VirtualDaemon, run: () => void): void {
    const step = (): void => {
      if (!daemon.isAlive) return;
      // The timers of a paused process do not fire.
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
    const nowMs = this.nowMs + daemon.clockOffsetMs;
    const decision = decide(daemon.state, event, this.policy, nowMs);
    // eslint-disable-next-line no-param-reassign
    daemon.state = decision.state;
    decision.effects.forEach((effect) => this.#performIfAlive(daemon, effect));
  }

  #performIfAlive(daemon: VirtualDaemon, effect: CellEffect): void {
    if (!daemon.isAlive) return;
    this.#perform(daemon, effect);
    if (effect.kind === 'count' || effect.kind === 'log') return;
    // The test harness mutates its own record.
    /* eslint-disable no-param-reassign */
    daemon.effectCount += 1;
    if (daemon.effectCount >= daemon.diesAfterEffect) daemon.isAlive = false;
    /* eslint-enable no-param-reassign */
  }

  #perform(daemon: VirtualDaemon, effect: CellEffect): void {
    const call = toCellCall(effect, this.nowMs + daemon.clockOffsetMs);
    switch (call?.kind) {
      case 'read':
        this.#callTable(daemon, () => right(this.table.read(call.request)), call.toEvent);
        break;
      case 'transact':
        this.#callTable(daemon, () => this.#transact(call.transaction), call.toEvent);
        break;
      case 'command':
        this.#command(daemon, call);
        break;
      default:
        this.#recordEffect(daemon, effect);
    }
  }

  #recordEffect(daemon: VirtualDaemon, effect: CellEffect): void {
    if (effect.kind === 'count') {
      this.counters.set(effect.counter, this.count(effect.counter) + effect.amount);
    }
    if (effect.kind === 'log') {
      this.logs.push(`${Math.round(this.nowMs)} ${daemon.id} ${effect.event}`);
    }
  }

  /** Calls the table after a delay and delivers the answer after another delay. */
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
    this.#schedule(this.#delayMs() + this.tableSlownessMs / 2, () => {
      const result = run();
      const delayMs = this.#delayMs() + this.tableSlownessMs / 2;
      this.#schedule(delayMs, () => this.#deliver(daemon, toEvent(result)));
    });
  }

  /** Sends the delayed transactions to the table. Those whose conditions hold commit. */
  releaseDelayedTransactions(): readonly TransactionResult[] {
    return this.delayedTransactions
      .splice(0)
      .map((transaction) => this.table.transact(transaction));
  }

  #transact(transaction: Transaction): Either<Failure, TransactionResult> {
    if (this.shouldDelayTransaction?.(transaction) === true) {
      this.delayedTransactions.push(transaction);
      return left(failure(ErrorKind.StoreAnswerLost, 'delayed'));
    }
    const result = this.table.transact(transaction);
    const isLost = this.#random.nextFraction() < this.lostAnswerRatio;
    return isLost ? left(failure(ErrorKind.StoreAnswerLost, 'lost')) : right(result);
  }

  #command(daemon: VirtualDaemon, call: CellCall & { readonly kind: 'command' }): void {
    const { workerId, command } = call;
    const answer = (result: Either<Failure, WorkerReport>): void =>
      this.#deliver(daemon, call.toEvent(result));
    const timeOut = (): void =>
      this.#schedule(CALL_TIMEOUT_MS, () =>
        answer(left(failure(ErrorKind.WorkerUnavailable, 'unreachable'))),
      );
    const isLate = this.#random.nextFraction() < this.lateCommandRatio;
    const latenessMs = isLate ? CALL_TIMEOUT_MS + this.#random.nextIndex(MAXIMUM_LATENESS_MS) : 0;
    if (isLate) timeOut();
    this.#schedule(this.#delayMs() + latenessMs, () => {
      const report = this.#executeCommand(workerId, command);
      const isLost = this.#random.nextFraction() < this.lostCommandAnswerRatio;
      if (isLate) return;
      if (report === undefined || isLost) timeOut();
      else this.#schedule(this.#delayMs(), () => answer(right(report)));
    });
  }

  #executeCommand(workerId: string, command: WorkerCommand): WorkerReport | undefined {
    if (this.unreachableWorkers.has(workerId)) return undefined;
    return this.workers.get(workerId)?.command(command, this.#workerNowMs(workerId));
  }

  #configurationVersion(): number {
    const [row] = this.table.read({ keys: [VERSION_KEY], prefixes: [] }).rows;
    return row === undefined ? 0 : (row.value as { version: number }).version;
  }

  #readConfiguration(daemon: VirtualDaemon): void {
    if (this.isTableDown || daemon.isCutFromTable || daemon.isConfigurationUnreadable) return;
    const sentAtMs = this.nowMs + daemon.clockOffsetMs;
    const { rows } = this.table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] });
    const configuration = { view: toConfigurationView(rows), confirmedAtMs: sentAtMs };
    this.#schedule(this.#delayMs(), () =>
      this.#deliver(daemon, { kind: 'configuration', configuration }),
    );
  }
}
