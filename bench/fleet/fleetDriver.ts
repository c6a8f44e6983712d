/**
 * Drives the fleet scheduler in virtual time with models of the table and workers, without sockets.
 */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import type { JsonValue } from '../../src/base/common/json.js';
import { SeededRandom } from '../../src/base/common/random.js';
import type { FleetEffect } from '../../src/scheduler/common/fleet/fleetEffects.js';
import type { FleetPolicy } from '../../src/scheduler/common/fleet/fleetPolicy.js';
import { FleetScheduler } from '../../src/scheduler/common/fleet/fleetScheduler.js';
import { FLEET_TIMING, type FleetTiming } from '../../src/scheduler/common/fleet/fleetTiming.js';
import { ErrorKind, failure, type Failure } from '../../src/services/errors/common/errorKinds.js';
import type { FleetConfiguration } from '../../src/services/fleet/common/fleetConfiguration.js';
import type {
  FleetWorkerEntry,
  HoldRequest,
  StartRequest,
} from '../../src/services/fleet/common/fleetWorker.js';
import { type Log, silentLog } from '../../src/services/log/common/log.js';
import {
  cancelKey,
  type Progress,
  progressKey,
  specKey,
} from '../../src/services/submissions/common/submissionRows.js';
import type { Transaction, TransactionResult } from '../../src/services/table/common/table.js';
import { TableStandIn } from '../../standIns/platform/tableStandIn.js';
import { VirtualTime } from '../virtualTime.js';
import { countCommit, countHold, countLoggedDecision, newDriverCounts } from './driverCounts.js';
import { configurationOf } from './fleetConfiguration.js';
import { CALL_COST_MS, OwnerProcessor } from './ownerProcessor.js';
import type { FleetShape } from './fleetShape.js';
import { SharedWorker, STOP_MS } from './sharedWorker.js';
import { newStoredStateReader } from './storedState.js';
import type { FleetTruth } from './truth.js';
import type { Arrival } from './workload.js';

const NETWORK_DELAY_MS = 3;
const TABLE_DELAY_MS = 8;
const FEED_DELAY_MS = 12;
/** Minimum interval between two steps of the scheduler. */
const STEP_INTERVAL_MS = 10;
const TICK_MS = 50;
const WORKER_TICK_MS = 20;
const WORKERS_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
/** How long a lost worker stays on the worker list. */
const LISTING_RETENTION_MS = 3_000;
const TIMING: FleetTiming = {
  ...FLEET_TIMING,
  maximumLeaseMs: 6_000,
  workerLeaseLimitMs: 6_000,
  workerReportIntervalMs: 1_500,
  workerStopMs: STOP_MS,
  workerListFreshnessMs: 1_800,
  operatorFreshnessMs: 4_500,
};

/** A hold request that the worker answers when it has news, or at `untilMs`. */
interface WaitingHold {
  readonly request: HoldRequest;
  readonly untilMs: number;
  readonly answer: () => void;
}

export class FleetDriver {
  readonly time = new VirtualTime();

  readonly table = new TableStandIn();

  readonly workers = new Map<string, SharedWorker>();

  readonly counts = newDriverCounts();

  readonly #processor: OwnerProcessor;

  /** The time at which each submission was stored as complete, by submission id. */
  readonly completedAtMs = new Map<string, number>();

  readonly #shape: FleetShape;

  readonly #truth: FleetTruth;

  readonly #policy: FleetPolicy;

  readonly #random: SeededRandom;

  readonly #configuration: FleetConfiguration;

  readonly #failures = new Map<string, number>();

  readonly #holds = new Map<string, WaitingHold[]>();

  readonly #lostAtMs = new Map<string, number>();

  #scheduler: FleetScheduler;

  #generation = 0;

  #stepDueAtMs = Number.POSITIVE_INFINITY;

  #lastStepAtMs = 0;

  #loading: Promise<void> | undefined;

  /** Receives the scheduler's decision log. The time to write it counts as the scheduler's cost. */
  log: Log = silentLog;

  constructor(
    shape: FleetShape,
    truth: FleetTruth,
    policy: FleetPolicy,
    seed: number,
    ownerCores?: number,
  ) {
    this.#shape = shape;
    this.#processor = new OwnerProcessor(this.time, ownerCores);
    this.#truth = truth;
    this.#policy = policy;
    this.#random = new SeededRandom(seed);
    this.#configuration = configurationOf(shape);
    for (let index = 0; index < shape.workerCount; index += 1) this.#addWorker(index);
    this.#scheduler = this.#newScheduler();
    this.#repeat(WORKER_TICK_MS, () => this.#tickWorkers());
    this.#repeat(TICK_MS, () => this.#scheduleStep());
    this.#repeat(WORKERS_INTERVAL_MS, () => this.#deliverWorkerList());
  }

  /** Schedules the arrival of a submission, and its cancellation if it has one. */
  submit(arrival: Arrival): void {
    const { atMs, submission, cancelledAtMs } = arrival;
    const { id } = submission;
    this.time.after(atMs - this.time.nowMs, () => {
      this.#write(specKey(id), submission as unknown as JsonValue);
      this.#deliver((epoch) =>
        this.#scheduler.handleChanges(epoch, [{ kind: 'submission', submission }], this.time.nowMs),
      );
    });
    if (cancelledAtMs === undefined) return;
    this.time.after(cancelledAtMs - this.time.nowMs, () => {
      this.#write(cancelKey(id), {});
      this.#deliver((epoch) =>
        this.#scheduler.handleChanges(epoch, [{ kind: 'cancellation', id }], this.time.nowMs),
      );
    });
  }

  /** Crashes a worker and its machine without notice. */
  crashWorker(id: string): void {
    this.workers.get(id)?.model.crash();
    this.#lostAtMs.set(id, this.time.nowMs);
  }

  /** Crashes the owner. Another daemon takes over the fleet. */
  replaceOwner(): void {
    this.#generation += 1;
    this.#scheduler = this.#newScheduler();
  }

  /** Virtual time during which the owner's processor was busy; 0 if it is not charged. */
  get ownerBusyMs(): number {
    return this.#processor.busyMs;
  }

  isLost(id: string): boolean {
    return this.#lostAtMs.has(id);
  }

  async runUntil(endMs: number): Promise<void> {
    while (this.time.runNext(endMs)) {
      // eslint-disable-next-line no-await-in-loop -- virtual time does not advance while rows are read
      if (this.#loading !== undefined) await this.#loading;
    }
  }

  #newScheduler(): FleetScheduler {
    const id = `daemon-${this.#generation}`;
    const scheduler = new FleetScheduler(id, TIMING, 0, this.#policy, this.time.nowMs);
    scheduler.handleOperatorState({
      configuration: this.#configuration,
      withdrawnZones: new Set(),
    });
    return scheduler;
  }

  #addWorker(index: number): void {
    const { processorMillis } = this.#shape;
    const id = `worker-${index}`;
    const worker = new SharedWorker(
      {
        id,
        processorMillis: processorMillis[index % processorMillis.length] as number,
        ...{ shape: this.#shape, truth: this.#truth, random: this.#random },
        onWasted: (processorSeconds) => {
          this.counts.wastedProcessorSeconds += processorSeconds;
        },
      },
      this.#failures,
      0,
    );
    this.workers.set(id, worker);
  }

  #repeat(intervalMs: number, run: () => void): void {
    this.time.after(intervalMs, () => {
      run();
      this.#repeat(intervalMs, run);
    });
  }

  #tickWorkers(): void {
    const { nowMs } = this.time;
    this.workers.forEach((worker, id) => {
      if (this.isLost(id)) return;
      worker.tick(nowMs);
      const holds = this.#holds.get(id);
      if (holds === undefined || holds.length === 0) return;
      const isDue = ({ untilMs }: WaitingHold): boolean =>
        nowMs >= untilMs || worker.model.hasNewEnds(nowMs);
      const due = holds.filter(isDue);
      if (due.length === 0) return;
      this.#holds.set(
        id,
        holds.filter((hold) => !due.includes(hold)),
      );
      due.forEach(({ answer }) => answer());
    });
  }

  #deliverWorkerList(): void {
    const { nowMs } = this.time;
    this.#deliver((epoch) =>
      this.#scheduler.handleWorkers(epoch, this.#listedWorkers(), nowMs, nowMs),
    );
  }

  #listedWorkers(): readonly FleetWorkerEntry[] {
    const { nowMs } = this.time;
    return [...this.workers.values()]
      .filter(({ model }) => nowMs < (this.#lostAtMs.get(model.id) ?? nowMs) + LISTING_RETENTION_MS)
      .map(({ model }, index) => ({
        ...{ id: model.id, address: model.id, serviceName: 'fleet', availabilityZone: 'zone' },
        ...{ isDraining: false, capacity: this.#capacityOf(index), labels: [], rack: '' },
        incarnation: model.incarnation,
      }));
  }

  #capacityOf(index: number): FleetWorkerEntry['capacity'] {
    const { processorMillis, memoryBytes } = this.#shape;
    const workerMillis = processorMillis[index % processorMillis.length] as number;
    return { processorMillis: workerMillis, memoryBytes, acceleratorCount: 0 };
  }

  #write(key: string, value: JsonValue): void {
    this.table.transact({ operationId: key, conditions: [], writes: [{ key, value }] });
  }

  /** Delivers a change after the feed delay, if the scheduler owns the fleet at that time. */
  #deliver(deliver: (epoch: number) => void): void {
    const handle = (): void => {
      const { epoch } = this.#scheduler;
      if (epoch !== undefined) deliver(epoch);
    };
    this.#runOnOwnerAfter(FEED_DELAY_MS, handle, CALL_COST_MS.feed);
  }

  /** Runs the callback on the owner's processor after a delay, unless the owner was replaced. */
  #runOnOwnerAfter(delayMs: number, run: () => void, costMs = 0): void {
    const generation = this.#generation;
    this.time.after(delayMs, () =>
      this.#processor.run(costMs, () => {
        if (generation !== this.#generation) return;
        this.#runTimed(run);
        this.#scheduleStep();
      }),
    );
  }

  /** Runs the callback and adds its duration to the scheduler's cost. */
  #runTimed<Result>(run: () => Result): Result {
    const startedAtMs = performance.now();
    const result = run();
    this.counts.schedulerMs += performance.now() - startedAtMs;
    return result;
  }

  #scheduleStep(): void {
    const { nowMs } = this.time;
    const dueAtMs = Math.max(nowMs, this.#lastStepAtMs + STEP_INTERVAL_MS);
    if (this.#stepDueAtMs <= dueAtMs) return;
    this.#stepDueAtMs = dueAtMs;
    this.time.after(dueAtMs - nowMs, () => this.#processor.run(0, () => this.#step(dueAtMs)));
  }

  #step(dueAtMs: number): void {
    const { nowMs } = this.time;
    this.#stepDueAtMs = Number.POSITIVE_INFINITY;
    this.#lastStepAtMs = nowMs;
    const { epoch } = this.#scheduler;
    if (epoch !== undefined) this.#scheduler.handleCaughtUp(epoch, nowMs);
    this.#scheduler.handleOperatorConfirmed(nowMs);
    this.counts.stepCount += 1;
    const startedAtMs = performance.now();
    const effects = this.#runTimed(() => this.#scheduler.step(nowMs, nowMs));
    const durationMs = this.#processor.toVirtualMs(performance.now() - startedAtMs);
    this.#scheduler.handleStepTaken(dueAtMs, nowMs, nowMs + durationMs);
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: FleetEffect): void {
    const sentAtMs = this.time.nowMs;
    const scheduler = this.#scheduler;
    switch (effect.kind) {
      case 'lease-read':
        this.#read(effect.request, (result) =>
          scheduler.handleLeaseRead(result, sentAtMs, this.time.nowMs),
        );
        break;
      case 'lease-write':
        this.#transact(effect.transaction, (result) =>
          scheduler.handleLeaseWritten(effect.step, result, sentAtMs, this.time.nowMs),
        );
        break;
      case 'load':
        this.#load(effect.epoch);
        break;
      case 'commit':
        countCommit(this.counts, effect.transaction);
        this.#transact(effect.transaction, (result) => {
          this.#recordCompletions(effect.transaction);
          scheduler
            .handleCommitted(effect.epoch, result, this.time.nowMs)
            .forEach((next) => this.#perform(next));
        });
        break;
      case 'resolve':
        this.#read(effect.request, (result) => {
          scheduler.handleResolved(effect.epoch, result);
        });
        break;
      case 'hold':
        this.#hold(effect.epoch, effect.request, sentAtMs);
        break;
      case 'start':
        this.#start(effect.epoch, effect.request);
        break;
      case 'stop':
        this.#callWorker(
          effect.reference.workerId,
          ({ model }) => model.stop(effect.reference, this.time.nowMs),
          (result) =>
            scheduler.handleStopped(effect.epoch, effect.reference, result, this.time.nowMs),
        );
        break;
      case 'pace':
        this.counts.paceCount += 1;
        this.#callWorker(
          effect.reference.workerId,
          (worker) => worker.pace(effect.reference, effect.percent, this.time.nowMs),
          (result) => {
            const { epoch, reference, percent } = effect;
            scheduler.handlePaced(epoch, reference, percent, result, this.time.nowMs);
          },
        );
        break;
      case 'disconnect':
        break;
      default:
        countLoggedDecision(this.counts, effect);
        this.#runTimed(() => this.log.info(effect.event, effect.fields));
    }
  }

  #recordCompletions({ writes }: Transaction): void {
    writes.forEach(({ key, value }) => {
      const id = key.slice(progressKey('').length);
      const isProgress = key === progressKey(id);
      if (!isProgress || (value as unknown as Progress).state !== 'complete') return;
      if (!this.completedAtMs.has(id)) this.completedAtMs.set(id, this.time.nowMs);
    });
  }

  #read(
    request: Parameters<TableStandIn['read']>[0],
    handle: (result: Either<Failure, ReturnType<TableStandIn['read']>>) => void,
  ): void {
    const answer = this.table.read(request);
    const deliverAnswer = (): void => handle(right({ ...answer, tableNowMs: this.time.nowMs }));
    this.#runOnOwnerAfter(TABLE_DELAY_MS, deliverAnswer, CALL_COST_MS.read);
  }

  #transact(
    transaction: Transaction,
    handle: (result: Either<Failure, TransactionResult>) => void,
  ): void {
    const answer = this.table.transact(transaction);
    const deliverAnswer = (): void => handle(right({ ...answer, tableNowMs: this.time.nowMs }));
    this.#runOnOwnerAfter(TABLE_DELAY_MS, deliverAnswer, CALL_COST_MS.commit);
  }

  #load(epoch: number): void {
    const sentAtMs = this.time.nowMs;
    const reader = newStoredStateReader(this.table, () => this.#listedWorkers());
    this.#loading = reader.readAll().then((loaded) => {
      this.#loading = undefined;
      this.#runOnOwnerAfter(TABLE_DELAY_MS, () =>
        this.#scheduler.handleLoaded(epoch, loaded?.stored, sentAtMs, this.time.nowMs),
      );
    });
  }

  #hold(epoch: number, request: HoldRequest, sentAtMs: number): void {
    const { workerId } = request;
    const worker = this.workers.get(workerId) as SharedWorker;
    const answer = (): void => {
      const outcome = worker.model.hold(request, this.time.nowMs);
      countHold(this.counts, outcome);
      const deliverAnswer = (): void =>
        this.#scheduler.handleHeld(epoch, workerId, right(outcome), sentAtMs, this.time.nowMs);
      this.#runOnOwnerAfter(NETWORK_DELAY_MS, deliverAnswer, CALL_COST_MS.hold);
    };
    this.time.after(NETWORK_DELAY_MS, () => {
      if (this.isLost(workerId)) {
        const noAnswer = left(failure(ErrorKind.AnswerLost, 'no answer'));
        this.#runOnOwnerAfter(CALL_TIMEOUT_MS, () =>
          this.#scheduler.handleHeld(epoch, workerId, noAnswer, sentAtMs, this.time.nowMs),
        );
        return;
      }
      if (request.waitMs === 0) {
        answer();
        return;
      }
      // The lease and the acknowledgements in the request take effect when it arrives.
      worker.model.hold(request, this.time.nowMs);
      const holds = this.#holds.get(workerId) ?? [];
      const untilMs = this.time.nowMs + request.waitMs;
      this.#holds.set(workerId, [...holds, { request, untilMs, answer }]);
    });
  }

  #start(epoch: number, request: StartRequest): void {
    this.#callWorker(
      request.workerId,
      (worker) => {
        const { nowMs } = this.time;
        const outcome = worker.model.start(request, nowMs);
        worker.trackStart(request.taskName, request.checkpoint, nowMs);
        this.counts.startCount += 1;
        return outcome;
      },
      (result) => this.#scheduler.handleStarted(epoch, request, result, this.time.nowMs),
    );
  }

  #callWorker<Answer>(
    workerId: string,
    call: (worker: SharedWorker) => Answer,
    handle: (result: Either<Failure, Answer>) => void,
  ): void {
    this.time.after(NETWORK_DELAY_MS, () => {
      if (this.isLost(workerId)) return;
      const answer = call(this.workers.get(workerId) as SharedWorker);
      this.#runOnOwnerAfter(NETWORK_DELAY_MS, () => handle(right(answer)), CALL_COST_MS.order);
    });
  }
}
