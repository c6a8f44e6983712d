/** Simulates daemons whose work takes time on their processors, with a table and workers. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { JsonValue } from '../../../base/common/json.js';
import { CallGuard } from '../../../services/errors/common/callGuard.js';
import { ErrorKind, failure, type Failure } from '../../../services/errors/common/errorKinds.js';
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import type { FleetDirectory } from '../../../services/fleet/common/fleetDirectory.js';
import {
  type FleetClient,
  type FleetWorkerEntry,
  type HoldOutcome,
  type HoldRequest,
  OrderOutcome,
  RunEnd,
} from '../../../services/fleet/common/fleetWorker.js';
import { operatorTiming } from '../../../services/fleet/common/operatorTiming.js';
import { OperatorFollower } from '../../../services/fleet/node/operatorFollower.js';
import { type Log, type LogFields, silentLog } from '../../../services/log/common/log.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import { PrometheusMetrics } from '../../../services/metrics/node/prometheusMetrics.js';
import {
  cancelKey,
  type Progress,
  progressKey,
  specKey,
} from '../../../services/submissions/common/submissionRows.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import type { TableRow, TableService, Transaction } from '../../../services/table/common/table.js';
import {
  FeedKind,
  type FeedPage,
  type TableFeed,
} from '../../../services/table/common/tableFeed.js';
import { WorkerModel } from '../../../../standIns/fleet/workerModel.js';
import { TableStandIn } from '../../../../standIns/platform/tableStandIn.js';
import { ConcurrencyLimiter } from '../../node/concurrencyLimiter.js';
import { FleetTask } from '../../node/fleetTask.js';
import { CONFIGURATION, STOP_MS, TIMING, WORKER_CAPACITY } from './fleetFixtures.js';
import { EventLoopSimulator, type SimulatedEventLoop } from './eventLoopSimulator.js';

const OPERATOR_TIMING = operatorTiming(2_000);
const ONE_WAY_MS = 1;
const TABLE_LATENCY_MS = 4;
const POLL_INTERVAL_MS = 20;
/** How long a daemon waits for an answer from the table. */
const TABLE_TIMEOUT_MS = 700;
/** Longer than any simulation. */
const NEVER_MS = 1_000_000_000;

/** Time that work takes on a daemon's processor. */
export interface Costs {
  readonly sendMs: number;
  readonly answerMs: number;
  /** Added to the send and the answer of the first call to a worker, which opens a connection. */
  readonly connectMs: number;
  readonly stepMs: number;
  readonly rowMs: number;
}

export interface Owner {
  readonly epoch: number;
  readonly daemon: string;
  readonly atMs: number;
}

type IsTransactionLost = (transaction: Transaction) => boolean;

const NO_TRANSACTION_LOST: IsTransactionLost = () => false;

const NO_CALL_THROWN = (_call: string): boolean => false;

/** A call to the table that gets no answer and fails at its timeout. */
const noAnswer =
  (loop: SimulatedEventLoop): TaskEither<Failure, never> =>
  () =>
    new Promise((resolve) => {
      loop.after(TABLE_TIMEOUT_MS, () =>
        resolve(left(failure(ErrorKind.StoreAnswerLost, 'no answer'))),
      );
    });

export class BusyFleet {
  readonly simulator = new EventLoopSimulator();

  readonly table = new TableStandIn();

  readonly workers = new Map<string, WorkerModel>();

  readonly owners: Owner[] = [];

  /** Runs that ended because the leases of their workers had ended. */
  lapseCount = 0;

  /** Number of starts by task name. */
  readonly startCounts = new Map<string, number>();

  /** Steps of those daemons whose steps take processor time. */
  stepCount = 0;

  /** Selects the transactions that never reach the table and get no answer. */
  isTransactionLost = NO_TRANSACTION_LOST;

  /** How long the answers of the feed are under way. */
  feedDelayMs = 0;

  /** Whether this call of a daemon throws. */
  isCallThrown = NO_CALL_THROWN;

  /** How long workers take to answer an order. */
  orderAnswerMs = 0;

  /** Connections of a daemon for orders to one worker, on each of which one order is under way. */
  orderConnections = Number.POSITIVE_INFINITY;

  /** When each start reached its worker, with the name of the task. */
  readonly starts: { readonly taskName: string; readonly atMs: number }[] = [];

  /** The rows of callers' submissions and cancellations. */
  readonly #changes: TableRow[] = [];

  readonly #workMs: (taskName: string) => number;

  readonly #configuration: FleetConfiguration;

  constructor(
    workerCount: number,
    workMs: (taskName: string) => number,
    configuration = CONFIGURATION,
  ) {
    this.#workMs = workMs;
    this.#configuration = configuration;
    for (let index = 0; index < workerCount; index += 1) this.#addWorker(`worker-${index}`);
  }

  addDaemon(
    name: string,
    costs: Costs,
    acquireDelayMs = 0,
  ): { loop: SimulatedEventLoop; task: FleetTask } {
    const loop = this.simulator.newLoop();
    const services = {
      table: this.#withExceptions(this.#tableFor(loop, costs)),
      feed: this.#withExceptions(this.#feedFor(loop)),
      directory: this.#withExceptions(this.#directoryFor(loop, costs)),
      client: this.#withExceptions(this.#clientFor(loop, costs)),
      clock: loop,
      wallNowMs: () => {
        // Each step of the daemon reads the wall clock once, so the time of the step is spent here.
        if (costs.stepMs > 0) this.stepCount += 1;
        loop.spend(costs.stepMs);
        return loop.nowMs();
      },
      log: this.#logOf(name, loop),
      metrics: new PrometheusMetrics(),
    };
    const task = this.simulator.runOn(loop, () => {
      const guard = new CallGuard(services);
      const { directory } = services;
      const operator = new OperatorFollower(directory, loop, silentLog, OPERATOR_TIMING, guard);
      return new FleetTask({ ...services, operator }, name, TIMING, acquireDelayMs);
    });
    return { loop, task };
  }

  submit(submission: Submission): void {
    this.#writeChange(specKey(submission.id), submission as unknown as JsonValue);
  }

  cancel(id: string): void {
    this.#writeChange(cancelKey(id), {});
  }

  #writeChange(key: string, value: JsonValue): void {
    this.#changes.push({ key, version: 1, value, operationId: key });
    this.table.transact({ operationId: key, conditions: [], writes: [{ key, value }] });
  }

  progress(id: string): Progress | undefined {
    const row = this.table.read({ keys: [progressKey(id)], prefixes: [] }).rows[0];
    return row === undefined ? undefined : (row.value as unknown as Progress);
  }

  #addWorker(id: string): void {
    const model = new WorkerModel(
      {
        id,
        capacity: WORKER_CAPACITY,
        maximumLeaseMs: TIMING.maximumLeaseMs,
        stopMs: STOP_MS,
        clockRate: 1,
        taskOf: (taskName) => ({ workMs: this.#workMs(taskName), end: RunEnd.Done }),
        onStart: (taskName) => {
          this.startCounts.set(taskName, (this.startCounts.get(taskName) ?? 0) + 1);
          this.starts.push({ taskName, atMs: this.simulator.outside.nowMs() });
        },
        onEnd: ({ end }) => {
          if (end === RunEnd.Lapsed) this.lapseCount += 1;
        },
      },
      0,
    );
    this.workers.set(id, model);
  }

  #withExceptions<Service extends object>(service: Service): Service {
    return new Proxy(service, {
      get: (target, name) => {
        if (this.isCallThrown(String(name))) throw new TypeError(`${String(name)} threw`);
        return Reflect.get(target, name) as unknown;
      },
    });
  }

  #logOf(daemon: string, loop: SimulatedEventLoop): Log {
    const note = (event: LogEvent, fields: LogFields = {}): void => {
      if (event !== 'fleet-acquired') return;
      this.owners.push({ epoch: Number(fields.epoch), daemon, atMs: loop.nowMs() });
    };
    return { ...silentLog, info: note };
  }

  /** A call that is served outside the daemons; its answer is handled on the daemon's loop. */
  #call<Answer>(
    loop: SimulatedEventLoop,
    answerCostMs: () => number,
    serve: (reply: (answer: Answer) => void) => void,
  ): TaskEither<Failure, Answer> {
    return () =>
      new Promise((resolve) => {
        const { outside } = this.simulator;
        const reply = (answer: Answer): void => {
          this.simulator.schedule(loop, outside.nowMs() + ONE_WAY_MS, () => {
            loop.spend(answerCostMs());
            resolve(right(answer));
          });
        };
        this.simulator.schedule(outside, loop.nowMs() + ONE_WAY_MS, () => serve(reply));
      });
  }

  #tableFor(loop: SimulatedEventLoop, costs: Costs): TableService {
    const serve = <Answer>(answer: () => Answer, costOf: (answered: Answer) => number) => {
      let costMs = 0;
      return this.#call<Answer>(
        loop,
        () => costMs,
        (reply) =>
          this.simulator.outside.after(TABLE_LATENCY_MS, () => {
            const answered = answer();
            costMs = costOf(answered);
            reply(answered);
          }),
      );
    };
    const withTableTime = <Answer extends object>(answer: Answer) => ({
      ...answer,
      tableNowMs: this.simulator.outside.nowMs(),
      position: this.#changes.length,
    });
    return {
      read: (request) =>
        serve(
          () => withTableTime(this.table.read(request)),
          ({ rows }) => costs.answerMs + rows.length * costs.rowMs,
        ),
      transact: (transaction) =>
        this.isTransactionLost(transaction)
          ? noAnswer(loop)
          : serve(
              () => withTableTime(this.table.transact(transaction)),
              () => costs.answerMs,
            ),
    };
  }

  #feedFor(loop: SimulatedEventLoop): TableFeed {
    return {
      follow: (_, afterPosition, waitMs) =>
        this.#call(
          loop,
          () => 0,
          (reply) => {
            const untilMs = this.simulator.outside.nowMs() + waitMs;
            const poll = (): void => {
              const isDue = this.#changes.length > afterPosition;
              if (!isDue && this.simulator.outside.nowMs() < untilMs) {
                this.simulator.outside.after(POLL_INTERVAL_MS, poll);
                return;
              }
              const rows = this.#changes.slice(afterPosition);
              const page: FeedPage = {
                kind: FeedKind.Changes,
                rows,
                position: this.#changes.length,
              };
              if (this.feedDelayMs === 0) reply(page);
              else this.simulator.outside.after(this.feedDelayMs, () => reply(page));
            };
            poll();
          },
        ),
    };
  }

  #directoryFor(loop: SimulatedEventLoop, costs: Costs): FleetDirectory {
    return {
      operatorChanges: (afterPosition, waitMs) =>
        this.#call(
          loop,
          () => 0,
          (reply) => {
            const isSnapshot = afterPosition === undefined;
            const changes = isSnapshot
              ? [{ kind: 'configuration' as const, configuration: this.#configuration }]
              : [];
            this.simulator.outside.after(isSnapshot ? 0 : waitMs, () =>
              reply({ isSnapshot, changes, position: 1 }),
            );
          },
        ),
      workers: () =>
        this.#call(
          loop,
          () => costs.rowMs * this.workers.size,
          (reply) => reply(this.#entries()),
        ),
    };
  }

  #entries(): readonly FleetWorkerEntry[] {
    return [...this.workers.values()].map(({ id, incarnation }) => ({
      ...{ id, address: id, serviceName: 'service', availabilityZone: 'zone', rack: 'rack' },
      ...{ isDraining: false, capacity: WORKER_CAPACITY, labels: [], incarnation },
    }));
  }

  #clientFor(loop: SimulatedEventLoop, costs: Costs): FleetClient {
    const connected = new Set<string>();
    const call = <Answer>(workerId: string, serve: (reply: (answer: Answer) => void) => void) => {
      const connectMs = connected.has(workerId) ? 0 : costs.connectMs;
      connected.add(workerId);
      loop.spend(costs.sendMs + connectMs);
      return this.#call<Answer>(loop, () => costs.answerMs + connectMs, serve);
    };
    const connections = new Map<string, ConcurrencyLimiter>();
    const connectionsTo = (workerId: string): ConcurrencyLimiter => {
      const known =
        connections.get(workerId) ?? new ConcurrencyLimiter(this.orderConnections, NEVER_MS);
      connections.set(workerId, known);
      return known;
    };
    const order =
      <Answer>(workerId: string, carryOut: (worker: WorkerModel) => Answer) =>
      async (): Promise<Either<Failure, Answer>> => {
        const release = await connectionsTo(workerId).acquire();
        const answer = await call<Answer>(workerId, (reply) => {
          const carriedOut = carryOut(this.workers.get(workerId) as WorkerModel);
          if (this.orderAnswerMs === 0) reply(carriedOut);
          else this.simulator.outside.after(this.orderAnswerMs, () => reply(carriedOut));
        })();
        release();
        return answer;
      };
    return {
      hold: (request) => call<HoldOutcome>(request.workerId, (reply) => this.#hold(request, reply)),
      start: (request) =>
        order(request.workerId, (worker) => worker.start(request, this.simulator.outside.nowMs())),
      stop: (reference) =>
        order(reference.workerId, (worker) =>
          worker.stop(reference, this.simulator.outside.nowMs()),
        ),
      pace: (reference) => order(reference.workerId, () => OrderOutcome.Accepted),
      disconnect: () => connected.clear(),
    };
  }

  #hold(request: HoldRequest, reply: (outcome: HoldOutcome) => void): void {
    const { outside } = this.simulator;
    const worker = this.workers.get(request.workerId) as WorkerModel;
    const untilMs = outside.nowMs() + request.waitMs;
    const poll = (): void => {
      const isDue = outside.nowMs() >= untilMs || worker.hasNewEnds(outside.nowMs());
      if (isDue) reply(worker.hold(request, outside.nowMs()));
      else outside.after(POLL_INTERVAL_MS, poll);
    };
    worker.hold(request, outside.nowMs());
    poll();
  }
}
