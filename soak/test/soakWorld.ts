/**
 * Simulates the system in virtual time for randomised runs. Several daemons, each with the
 * schedulers of two cells, a configuration reader, routes and a plan service, share one table
 * stand-in and the worker stand-ins. Commands set faults as fields. The judge sees the workers'
 * events and the committed transactions.
 */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import { SeededRandom } from '../../src/base/common/random.js';
import { toRoutingTable } from '../../src/entry/common/routing.js';
import type { Intent } from '../../src/operator/common/intent.js';
import { ConfigurationReader } from '../../src/services/configuration/node/configurationReader.js';
import {
  ErrorKind,
  errorBody,
  failure,
  type Failure,
  WorkOutcome,
} from '../../src/services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import { silentLog } from '../../src/services/log/common/log.js';
import { silentMetrics } from '../../src/services/metrics/common/metrics.js';
import type {
  TableService,
  Transaction,
  TransactionResult,
} from '../../src/services/table/common/table.js';
import {
  ENDPOINT_PREFIX,
  endpointRowSchema,
  toJobId,
} from '../../src/services/workload/common/workRows.js';
import type { WorkerCommand, WorkerReport } from '../../src/services/worker/common/workerClient.js';
import { toCellCall } from '../../src/scheduler/common/cellCalls.js';
import { decide, initialCellState } from '../../src/scheduler/common/cellScheduler.js';
import type { CellEffect, CellEvent, CellState } from '../../src/scheduler/common/cellState.js';
import { SpreadAndPackPolicy } from '../../src/scheduler/common/placement.js';
import { TEST_TIMING } from '../../src/scheduler/test/virtualCell.js';
import { TableStandIn } from '../../standIns/platform/tableStandIn.js';
import { SoakJudge } from './soakJudge.js';
import { RevertingReader, type SafeguardFaults, type SoakReader } from './safeguardFaults.js';
import { SoakWorker } from './soakWorker.js';
import {
  CAPACITY,
  type CallFaults,
  DAEMON_COUNT,
  NO_FAULTS,
  SERVICE,
  type SoakDaemon,
  WORKERS_PER_RACK,
  WORKERS_PER_ZONE,
  TASK_SIZE,
  ZONES,
} from './soakTypes.js';
import { createPlanService } from './soakPlanService.js';
import { SoakTime } from './soakTime.js';

const TICK_MS = 200;
const CONFIGURATION_INTERVAL_MS = 700;
const CALL_TIMEOUT_MS = 800;
const USUAL_DELAY_MS = 20;
const NEVER_MS = 2 ** 30;

export class SoakWorld {
  readonly time = new SoakTime();

  readonly table = new TableStandIn();

  readonly judge: SoakJudge;

  readonly workers = new Map<string, SoakWorker>();

  readonly daemons: SoakDaemon[] = [];

  readonly counters = new Map<string, number>();

  readonly tableFaults: CallFaults = { ...NO_FAULTS };

  readonly workerFaults: CallFaults = { ...NO_FAULTS };

  /** Ids of jobs whose acceptance was confirmed to an operator. */
  readonly acceptedJobIds = new Set<string>();

  readonly #instances: WorkerInstance[] = [];

  readonly #random: SeededRandom;

  readonly #safeguardFaults: SafeguardFaults;

  readonly #startedAttempts = new Set<string>();

  #daemonCount = 0;

  constructor(seed: number, safeguardFaults: SafeguardFaults = {}) {
    this.#random = new SeededRandom(seed);
    this.#safeguardFaults = safeguardFaults;
    const zoneOf = new Map<string, string>();
    this.judge = new SoakJudge(zoneOf);
    ZONES.forEach((zone) => {
      Array.from({ length: WORKERS_PER_ZONE }, (_, index) => index).forEach((index) => {
        zoneOf.set(`${zone}-w${index}`, zone);
        this.#addWorker(zone, index);
      });
    });
    Array.from({ length: DAEMON_COUNT }, () => this.addDaemon());
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  schedule(delayMs: number, run: () => void): void {
    this.time.after(delayMs, run);
  }

  async runFor(durationMs: number): Promise<void> {
    await this.time.runFor(durationMs);
    this.workers.forEach((worker) => worker.advance(this.nowMs));
  }

  /** Puts the zones into use and creates a service, without faults. */
  async start(): Promise<void> {
    ZONES.forEach((zone) => void this.operate(0, { intent: 'use-zone', zone, region: 'r' }));
    await this.runFor(1_000);
    const service = { name: SERVICE, team: 'kitchen', replicaCount: 4, size: TASK_SIZE };
    void this.operate(0, {
      intent: 'create-service',
      service: { ...service, urgency: 'urgent' },
    });
    await this.runFor(4_000);
  }

  /** Plans and confirms an intent through the daemon at `index`, without retries. */
  async operate(index: number, intent: Intent): Promise<void> {
    const daemon = this.daemons[index % this.daemons.length];
    if (daemon === undefined) return;
    const planned = await daemon.plans.plan(intent, 'ann');
    if (isLeft(planned)) return;
    const { planId, digest, steps } = planned.right;
    const result = await daemon.plans.confirm({ planId, digest, author: 'ann' });
    if (isLeft(result)) {
      const isNotRun = errorBody(result.left).workOutcome === WorkOutcome.NotRun;
      if (isNotRun || this.#safeguardFaults.isAlwaysReportedNotRun)
        this.judge.noteNotRun(planId, this.nowMs);
      return;
    }
    if (steps.length > 0) this.judge.noteConfirmed(planId, this.nowMs);
    if (intent.intent !== 'submit-job') return;
    this.acceptedJobIds.add(toJobId(intent.team, intent.submissionKey));
  }

  addDaemon(): void {
    this.#daemonCount += 1;
    const id = `d${this.#daemonCount}`;
    const daemon = { id, cells: new Map<string, CellState>(), routes: new Map(), endpointRows: [] };
    const state = { isAlive: true, isPaused: false, isCut: false, faultedAtMs: this.nowMs };
    const soakDaemon = { ...daemon, ...state, inbox: [] } as unknown as SoakDaemon;
    const table = this.#tableOf(soakDaemon);
    soakDaemon.reader = this.#createReader(table);
    const options = { table, id, time: this.time, random: this.#random, counters: this.counters };
    soakDaemon.plans = createPlanService(options, soakDaemon.reader);
    ZONES.forEach((zone, index) => {
      const acquireDelayMs = (this.#daemonCount + index) % ZONES.length === 0 ? 0 : 400;
      const timing = { ...TEST_TIMING, acquireDelayMs };
      soakDaemon.cells.set(zone, initialCellState(zone, id, timing, this.nowMs));
      this.#handle(soakDaemon, zone, { kind: 'instances', workers: this.#instances });
    });
    this.daemons.push(soakDaemon);
    this.#every(TICK_MS, soakDaemon, () => this.#tick(soakDaemon));
    this.#every(CONFIGURATION_INTERVAL_MS, soakDaemon, () => this.#readConfiguration(soakDaemon));
    this.#every(CONFIGURATION_INTERVAL_MS, soakDaemon, () => this.#readRoutes(soakDaemon));
  }

  /** Ends a daemon at once. Messages that it has sent still arrive. */
  kill(index: number): void {
    const daemon = this.daemons[index % this.daemons.length];
    if (daemon === undefined) return;
    daemon.isAlive = false;
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  resume(daemon: SoakDaemon): void {
    Object.assign(daemon, { isPaused: false, faultedAtMs: this.nowMs });
    daemon.inbox.splice(0).forEach((run) => run());
  }

  #addWorker(zone: string, index: number): void {
    const id = `${zone}-w${index}`;
    const clockOffsetMs = this.#random.nextIndex(1_000_000);
    const worker = new SoakWorker(id, zone, CAPACITY, clockOffsetMs, (event) => {
      if (event.kind === 'started') this.#startedAttempts.add(`${event.taskId}#${event.attempt}`);
      this.judge.noteWorker(event, worker, this.nowMs);
    });
    worker.ignoresIncarnation = this.#safeguardFaults.hasWorkersWithoutIncarnationCheck ?? false;
    this.workers.set(id, worker);
    const address = { host: '127.0.0.1', port: 1 };
    this.#instances.push({
      kind: 'worker',
      id,
      availabilityZone: zone,
      rack: `${zone}-r${Math.floor(index / WORKERS_PER_RACK)}`,
      state: 'live',
      controlAddress: address,
      backendAddress: address,
      capacity: CAPACITY,
      slotCount: 8,
      connectionCount: 64,
    });
  }

  #createReader(table: TableService): SoakReader {
    if (this.#safeguardFaults.hasRevertingReaders) return new RevertingReader(table);
    const clock = { nowMs: () => this.nowMs };
    const reader = new ConfigurationReader(table, clock, silentLog, silentMetrics, NEVER_MS);
    // The reader's own timer uses real time. The world triggers each read instead.
    reader.dispose();
    return reader;
  }

  #every(intervalMs: number, daemon: SoakDaemon, run: () => void): void {
    const step = (): void => {
      if (!daemon.isAlive) return;
      // Timers of a paused daemon do not fire.
      if (!daemon.isPaused) run();
      this.schedule(intervalMs, step);
    };
    this.schedule(this.#random.nextIndex(intervalMs), step);
  }

  #delayMs(faults: CallFaults): number {
    const isLate = this.#random.nextFraction() < faults.lateRatio;
    return 1 + this.#random.nextIndex(isLate ? faults.lateDelayMs : USUAL_DELAY_MS);
  }

  /** Delivers a message to a daemon: drops it if the daemon has ended, queues it while paused. */
  static #deliver(daemon: SoakDaemon, run: () => void): void {
    if (!daemon.isAlive) return;
    if (daemon.isPaused) daemon.inbox.push(run);
    else run();
  }

  #tick(daemon: SoakDaemon): void {
    const { current, confirmedAtMs } = daemon.reader;
    ZONES.forEach((zone) => {
      if (current !== undefined) {
        const view = this.#safeguardFaults.alterView?.(current) ?? current;
        const configuration = { view, confirmedAtMs };
        this.#handle(daemon, zone, { kind: 'configuration', configuration });
      }
      this.#handle(daemon, zone, { kind: 'tick' });
    });
    const hasServers = (daemon.routes.get(SERVICE)?.length ?? 0) > 0;
    const isStale = this.#safeguardFaults.hasStaleEntries === true && hasServers;
    if (current !== undefined && !isStale) {
      // eslint-disable-next-line no-param-reassign
      daemon.routes = toRoutingTable(current, daemon.endpointRows, this.#instances);
    }
    const servers = daemon.routes.get(SERVICE) ?? [];
    const isRecentlyFaulted = this.nowMs - daemon.faultedAtMs < 3_000;
    // By design, an entry that cannot read the table keeps its last configuration.
    if (
      daemon.isCut ||
      this.tableFaults.isDown ||
      this.tableFaults.lateRatio > 0 ||
      isRecentlyFaulted
    ) {
      return;
    }
    new Set(servers.map((server) => server.availabilityZone)).forEach((zone) =>
      this.judge.noteRouted(daemon.id, zone, this.nowMs),
    );
  }

  /**
   * Reads the configuration now and once more before the next interval, as after a peer's
   * notification of a newer version.
   */
  #readConfiguration(daemon: SoakDaemon): void {
    const refresh = (): void => {
      void daemon.reader.refresh().then(() => {
        const version = daemon.reader.current?.version ?? 0;
        this.judge.noteInForce(daemon.id, version, this.nowMs);
      });
      this.time.requestMicrotaskDrain();
    };
    refresh();
    this.schedule(this.#random.nextIndex(CONFIGURATION_INTERVAL_MS), () =>
      SoakWorld.#deliver(daemon, refresh),
    );
  }

  #readRoutes(daemon: SoakDaemon): void {
    const read = () => this.table.read({ keys: [], prefixes: [ENDPOINT_PREFIX] });
    this.#callTable(daemon, read, ErrorKind.StoreUnavailable, (result) => {
      if (isLeft(result)) return;
      // eslint-disable-next-line no-param-reassign
      daemon.endpointRows = result.right.rows.map((row) => endpointRowSchema.parse(row.value));
    });
  }

  #handle(daemon: SoakDaemon, zone: string, event: CellEvent): void {
    const state = daemon.cells.get(zone);
    if (state === undefined) return;
    const observedState = this.#safeguardFaults.alterState?.(state) ?? state;
    const decision = decide(observedState, event, new SpreadAndPackPolicy(), this.nowMs);
    daemon.cells.set(zone, decision.state);
    decision.effects.forEach((effect) => this.#perform(daemon, zone, effect));
  }

  #perform(daemon: SoakDaemon, zone: string, effect: CellEffect): void {
    const call = toCellCall(effect, this.nowMs);
    const handle = (event: CellEvent): void => this.#handle(daemon, zone, event);
    switch (call?.kind) {
      case 'read': {
        const read = () => this.table.read(call.request);
        this.#callTable(daemon, read, ErrorKind.StoreUnavailable, (result) =>
          handle(call.toEvent(result)),
        );
        break;
      }
      case 'transact': {
        const write = () => this.#transact(call.transaction);
        this.#callTable(daemon, write, ErrorKind.StoreAnswerLost, (result) =>
          handle(call.toEvent(result)),
        );
        break;
      }
      case 'command':
        this.#command(daemon, call.workerId, call.command, (result) =>
          handle(call.toEvent(result)),
        );
        break;
      default:
        if (effect.kind !== 'count') return;
        this.counters.set(effect.counter, (this.counters.get(effect.counter) ?? 0) + effect.amount);
    }
  }

  #transact(transaction: Transaction): TransactionResult {
    const altered = this.#safeguardFaults.alterTransaction?.(transaction) ?? transaction;
    const result = this.table.transact(altered);
    this.judge.noteTransaction(altered, result, this.nowMs);
    return result;
  }

  /**
   * Simulates a call with delays of request and answer, a timeout, lost answers and a receiver that
   * may be unreachable (`run` returns undefined).
   */
  #call<Answer>(
    daemon: SoakDaemon,
    faults: CallFaults,
    run: () => Answer | undefined,
    lostAnswerKind: ErrorKind,
    settle: (result: Either<Failure, Answer>) => void,
  ): void {
    let isSettled = false;
    const settleOnce = (result: Either<Failure, Answer>): void => {
      if (isSettled) return;
      isSettled = true;
      SoakWorld.#deliver(daemon, () => {
        settle(result);
        this.time.requestMicrotaskDrain();
      });
    };
    this.schedule(CALL_TIMEOUT_MS, () =>
      settleOnce(left(failure(lostAnswerKind, 'the call timed out'))),
    );
    this.schedule(this.#delayMs(faults), () => {
      const answer = run();
      if (answer === undefined || this.#random.nextFraction() < faults.lostRatio) return;
      this.schedule(this.#delayMs(faults), () => settleOnce(right(answer)));
    });
  }

  #callTable<Answer>(
    daemon: SoakDaemon,
    run: () => Answer,
    lostAnswerKind: ErrorKind,
    settle: (result: Either<Failure, Answer>) => void,
  ): void {
    if (this.tableFaults.isDown) {
      const refused = left(failure(ErrorKind.StoreUnavailable, 'down'));
      this.schedule(1, () =>
        SoakWorld.#deliver(daemon, () => {
          settle(refused);
          this.time.requestMicrotaskDrain();
        }),
      );
      return;
    }
    const runIfReachable = () => (daemon.isCut ? undefined : run());
    // Only a transaction has an unknown outcome when its answer is lost, so only its answers are lost.
    const lostRatio = lostAnswerKind === ErrorKind.StoreAnswerLost ? this.tableFaults.lostRatio : 0;
    this.#call(daemon, { ...this.tableFaults, lostRatio }, runIfReachable, lostAnswerKind, settle);
  }

  #tableOf(daemon: SoakDaemon): TableService {
    return {
      read: (request) => () =>
        new Promise((resolve) => {
          const read = () => this.table.read(request);
          this.#callTable(daemon, read, ErrorKind.StoreUnavailable, resolve);
        }),
      transact: (transaction) => () =>
        new Promise((resolve) => {
          const write = () => this.#transact(transaction);
          this.#callTable(daemon, write, ErrorKind.StoreAnswerLost, resolve);
        }),
    };
  }

  #command(
    daemon: SoakDaemon,
    workerId: string,
    command: WorkerCommand,
    settle: (result: Either<Failure, WorkerReport>) => void,
  ): void {
    const altered = this.#safeguardFaults.alterCommand?.(command) ?? command;
    const run = (): WorkerReport | undefined => {
      const worker = this.workers.get(workerId);
      if (worker === undefined || worker.isCut) return undefined;
      this.#startedAttempts.clear();
      // Advances all workers, so that leases also expire on time on unreachable workers.
      this.workers.forEach((other) => other.advance(this.nowMs));
      const report = worker.command(altered, this.nowMs);
      const started = altered.starts.filter(({ taskId, attempt }) =>
        this.#startedAttempts.has(`${taskId}#${attempt}`),
      );
      this.judge.noteStarted(worker, started, report, this.nowMs);
      return report;
    };
    this.#call(daemon, this.workerFaults, run, ErrorKind.WorkerUnavailable, settle);
  }
}
