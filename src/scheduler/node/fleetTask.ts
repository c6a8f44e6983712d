/** Runs the fleet's scheduler. Owns its timers, its table calls and its calls to workers. */
import { type Either, isLeft, isRight, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Clock } from '../../base/common/clock.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import { CallGuard } from '../../services/errors/common/callGuard.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { FleetDirectory } from '../../services/fleet/common/fleetDirectory.js';
import {
  type FleetClient,
  type HoldRequest,
  type OrderOutcome,
  type RunReference,
  StartOutcome,
  type StartRequest,
} from '../../services/fleet/common/fleetWorker.js';
import type { OperatorFollower } from '../../services/fleet/node/operatorFollower.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Log } from '../../services/log/common/log.js';
import { SUBMISSION_TABLE } from '../../services/submissions/common/submissionRows.js';
import type { TableService, Transaction } from '../../services/table/common/table.js';
import { FeedKind, type TableFeed } from '../../services/table/common/tableFeed.js';
import type { FleetEffect } from '../common/fleet/fleetEffects.js';
import { DEFAULT_FLEET_POLICY } from '../common/fleet/fleetPolicy.js';
import { FleetScheduler } from '../common/fleet/fleetScheduler.js';
import { DEFAULT_STORE_LIMITS } from '../common/fleet/storeLimits.js';
import { StepThrottle } from '../common/fleet/stepThrottle.js';
import type { FleetTiming } from '../common/fleet/fleetTiming.js';
import { ConcurrencyLimiter } from './concurrencyLimiter.js';
import { OrderKind, OrderTurns } from './orderTurns.js';
import { RenewalMonitor } from './renewalMonitor.js';
import { StoredStateReader } from './storedStateReader.js';

/** The interval between steps when no events come in. */
const TICK_MS = 50;
/**
 * The interval at which the owner reads the list of workers. Workers drain in twice this time, so a
 * failed read is repeated once without waiting for the interval.
 */
const WORKERS_INTERVAL_MS = 1_000;
/** How long a feed call waits for a change. This also limits the delay by a dead connection. */
const FEED_WAIT_MS = 500;
const RETRY_MS = 200;
/** The maximum number of concurrent first holds, and how long each counts towards it. */
const MAXIMUM_FIRST_HOLDS = 24;
const FIRST_HOLD_SLOT_TIMEOUT_MS = 150;

/** Whether the call asks a worker for its first answer, which comes at once. */
const isFirstHold = ({ leaseEndWorkerMs, waitMs }: HoldRequest): boolean =>
  leaseEndWorkerMs === undefined && waitMs === 0;

export interface FleetTaskServices {
  readonly table: TableService;
  readonly feed: TableFeed;
  readonly directory: FleetDirectory;
  readonly operator: OperatorFollower;
  readonly client: FleetClient;
  readonly clock: Clock;
  readonly wallNowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

export class FleetTask implements Disposable {
  readonly #services: FleetTaskServices;

  readonly #scheduler: FleetScheduler;

  readonly #reader: StoredStateReader;

  readonly #disposables = new DisposableStore();

  readonly #renewalMonitor: RenewalMonitor;

  readonly #guard: CallGuard;

  readonly #stepThrottle = new StepThrottle();

  readonly #firstHoldLimiter = new ConcurrencyLimiter(
    MAXIMUM_FIRST_HOLDS,
    FIRST_HOLD_SLOT_TIMEOUT_MS,
  );

  readonly #orderTurns = new OrderTurns();

  #isStepScheduled = false;

  constructor(
    services: FleetTaskServices,
    selfId: string,
    timing: FleetTiming,
    acquireDelayMs: number,
    storeLimits = DEFAULT_STORE_LIMITS,
  ) {
    this.#services = services;
    const { clock, operator, table, directory, log } = services;
    this.#reader = new StoredStateReader(table, directory, log);
    this.#guard = new CallGuard(services);
    this.#renewalMonitor = new RenewalMonitor(timing.leaseMs, log, services.metrics);
    this.#scheduler = new FleetScheduler(
      selfId,
      timing,
      acquireDelayMs,
      { ...DEFAULT_FLEET_POLICY, storeLimits },
      clock.nowMs(),
    );
    this.#disposables.add(
      operator.onDidChange((state) => {
        this.#scheduler.handleOperatorState(state);
        this.#scheduleStep();
      }),
    );
    this.#disposables.add(
      operator.onDidConfirm((atMs) => this.#scheduler.handleOperatorConfirmed(atMs)),
    );
    this.#disposables.add(new PeriodicTimer(TICK_MS, () => this.#scheduleStep()));
    this.#disposables.add(new PeriodicTimer(WORKERS_INTERVAL_MS, () => this.#readWorkers()));
  }

  get isOwner(): boolean {
    return this.#scheduler.isOwner;
  }

  get startLimitPerS(): number {
    return this.#scheduler.startLimitPerS;
  }

  liveEpoch(): number | undefined {
    return this.#scheduler.liveEpoch(this.#services.clock.nowMs());
  }

  /**
   * Releases the fleet, so that the next owner does not wait for the lease and knows when the
   * workers' leases end. Without an answer, the write is retried for `retryForMs`. A conflict shows
   * that the release is stored or that there is a new owner.
   */
  async release(retryForMs: number): Promise<void> {
    const transaction = this.#scheduler.release();
    if (transaction === undefined) return;
    const { table, clock, log } = this.#services;
    const untilMs = clock.nowMs() + retryForMs;
    const write = () => this.#guard.run('release', () => table.transact(transaction)());
    let result = await write();
    while (isLeft(result) && clock.nowMs() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- each attempt repeats the last one
      await this.#pause(RETRY_MS);
      // eslint-disable-next-line no-await-in-loop
      result = await write();
    }
    const message = isLeft(result) ? result.left.message : result.right.outcome;
    log.info('fleet-lost', { message });
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  /** Schedules a step. Events of one turn of the event loop share a step. */
  #scheduleStep(): void {
    if (this.#isStepScheduled) return;
    this.#isStepScheduled = true;
    const nowMs = this.#services.clock.nowMs();
    const waitMs = this.#stepThrottle.waitMs(nowMs);
    const step = (): void => {
      this.#isStepScheduled = false;
      this.#step(nowMs + waitMs);
    };
    if (waitMs > 0) setTimeout(step, waitMs);
    else setImmediate(step);
  }

  #step(dueAtMs: number): void {
    if (this.#disposables.isDisposed) return;
    const { clock, wallNowMs, log } = this.#services;
    const beganAtMs = clock.nowMs();
    const effects = this.#scheduler.step(wallNowMs(), beganAtMs);
    const endedAtMs = clock.nowMs();
    this.#stepThrottle.noteStep(beganAtMs, endedAtMs);
    if (this.#scheduler.handleStepTaken(dueAtMs, beganAtMs, endedAtMs)) {
      const limitPerS = Math.round(this.#scheduler.startLimitPerS);
      log.info('starts-limited', { limitPerS, lateMs: Math.round(beganAtMs - dueAtMs) });
    }
    this.#perform(effects);
  }

  #perform(effects: readonly FleetEffect[]): void {
    effects.forEach((effect) => void this.#performOne(effect));
  }

  async #performOne(effect: FleetEffect): Promise<void> {
    const { table, client, clock } = this.#services;
    const scheduler = this.#scheduler;
    const guard = this.#guard;
    const sentAtMs = clock.nowMs();
    switch (effect.kind) {
      case 'lease-read': {
        const result = await guard.run(effect.kind, () => table.read(effect.request)());
        scheduler.handleLeaseRead(result, sentAtMs, clock.nowMs());
        break;
      }
      case 'lease-write': {
        const result = await guard.run(effect.kind, () => table.transact(effect.transaction)());
        this.#renewalMonitor.note(effect.step, sentAtMs, clock.nowMs());
        scheduler.handleLeaseWritten(effect.step, result, sentAtMs, clock.nowMs());
        break;
      }
      case 'load':
        await this.#load(effect.epoch);
        break;
      case 'commit': {
        const result = await guard.run(effect.kind, () => table.transact(effect.transaction)());
        if (isLeft(result)) this.#logFailedCommit(effect.transaction, result.left);
        this.#perform(scheduler.handleCommitted(effect.epoch, result, clock.nowMs()));
        break;
      }
      case 'resolve':
        await this.#resolve(effect);
        break;
      case 'hold':
        await this.#hold(effect);
        break;
      case 'start':
        await this.#start(effect);
        break;
      case 'stop': {
        const { reference } = effect;
        const result = await this.#order(effect.kind, reference, client.stop(reference));
        scheduler.handleStopped(effect.epoch, reference, result, clock.nowMs());
        break;
      }
      case 'pace': {
        const { epoch, reference, percent } = effect;
        const result = await this.#order(effect.kind, reference, client.pace(reference, percent));
        scheduler.handlePaced(epoch, reference, percent, result, clock.nowMs());
        break;
      }
      case 'disconnect':
        client.disconnect();
        return;
      default:
        this.#logDecision(effect);
        return;
    }
    this.#scheduleStep();
  }

  #logDecision({ event, fields }: Extract<FleetEffect, { kind: 'log' }>): void {
    const { log, metrics } = this.#services;
    log.info(event, fields);
    metrics.count('fleet_decisions', { event });
    const { waitedMs } = fields;
    if (typeof waitedMs === 'number') metrics.recordMs('task_wait_duration', waitedMs);
  }

  async #start({ epoch, request }: Extract<FleetEffect, { kind: 'start' }>): Promise<void> {
    const { client, clock, metrics } = this.#services;
    const dueAtMs = clock.nowMs();
    const release = await this.#orderTurns.acquire(request.workerId, OrderKind.Start);
    if (this.#scheduler.isStartDue(epoch, request, clock.nowMs())) {
      const result = await this.#guard.run('start', () => client.start(request)());
      this.#logStart(request, result);
      this.#scheduler.handleStarted(epoch, request, result, clock.nowMs());
      metrics.recordMs('order_duration', clock.nowMs() - dueAtMs, { order: 'start' });
    } else {
      this.#logWithheld(request, clock.nowMs() - dueAtMs);
      this.#scheduler.handleWithheld(epoch, request, clock.nowMs());
    }
    release();
  }

  async #order(
    order: 'stop' | 'pace',
    { workerId }: RunReference,
    task: TaskEither<Failure, OrderOutcome>,
  ): Promise<Either<Failure, OrderOutcome>> {
    const { metrics, clock } = this.#services;
    const dueAtMs = clock.nowMs();
    const release = await this.#orderTurns.acquire(workerId, OrderKind.Other);
    const result = await this.#guard.run(order, task);
    release();
    metrics.recordMs('order_duration', clock.nowMs() - dueAtMs, { order });
    return result;
  }

  #logFailedCommit({ writes }: Transaction, { message }: Failure): void {
    const sizes = writes.map(({ key, value }) => ({ key, size: JSON.stringify(value).length }));
    const largest = sizes.reduce((one, other) => (other.size > one.size ? other : one));
    const characters = sizes.reduce((sum, { size }) => sum + size, 0);
    const { key: largestKey, size: largestCharacters } = largest;
    const fields = { writes: writes.length, characters, largestKey, largestCharacters };
    this.#services.log.info('commit-failed', { ...fields, message });
  }

  #logWithheld({ taskName, run, workerId }: StartRequest, waitedMs: number): void {
    this.#services.metrics.count('task_starts', { outcome: 'withheld' });
    const fields = { taskName, run, workerId, turnMs: Math.round(waitedMs) };
    this.#services.log.info('start-withheld', fields);
  }

  #logStart(request: StartRequest, result: Either<Failure, StartOutcome>): void {
    const outcome = isLeft(result) ? 'unanswered' : result.right;
    this.#services.metrics.count('task_starts', { outcome });
    if (isRight(result) && result.right === StartOutcome.Started) return;
    const { taskName, run, workerId } = request;
    const { log } = this.#services;
    if (isLeft(result)) {
      log.info('start-unanswered', { taskName, run, workerId, message: result.left.message });
    } else {
      log.info('start-refused', { taskName, run, workerId, outcome: result.right });
    }
  }

  async #hold({ epoch, request }: Extract<FleetEffect, { kind: 'hold' }>): Promise<void> {
    const { client, clock } = this.#services;
    const { workerId } = request;
    const releaseSlot = isFirstHold(request) ? await this.#firstHoldLimiter.acquire() : undefined;
    if (this.#scheduler.epoch === epoch) {
      const sentAtMs = clock.nowMs();
      const result = await this.#guard.run('hold', () => client.hold(request)());
      this.#scheduler.handleHeld(epoch, workerId, result, sentAtMs, clock.nowMs());
    }
    releaseSlot?.();
  }

  async #load(epoch: number): Promise<void> {
    const { clock, log } = this.#services;
    const sentAtMs = clock.nowMs();
    const read = await this.#guard.run('load', async () => right(await this.#reader.readAll()));
    const loaded = isRight(read) ? read.right : undefined;
    if (loaded === undefined) await this.#pause(RETRY_MS);
    this.#scheduler.handleLoaded(epoch, loaded?.stored, sentAtMs, clock.nowMs());
    if (loaded === undefined || this.#scheduler.epoch !== epoch) return;
    const { changes, workers, roster } = loaded.stored;
    log.info('fleet-acquired', {
      epoch,
      rows: changes.length,
      workers: workers.length,
      knownWorkers: roster.workers.length,
      predecessorQuietMs: Math.round(this.#scheduler.predecessorQuietMs(clock.nowMs())),
    });
    void this.#followChanges(epoch, loaded.position);
    // After a load that took long, its list of workers may be too old for starts.
    if (clock.nowMs() - sentAtMs > WORKERS_INTERVAL_MS) void this.#readWorkers();
  }

  async #resolve(effect: Extract<FleetEffect, { kind: 'resolve' }>): Promise<void> {
    const { table } = this.#services;
    const result = await this.#guard.run(effect.kind, () => table.read(effect.request)());
    if (this.#scheduler.handleResolved(effect.epoch, result)) return;
    await this.#pause(RETRY_MS);
    if (!this.#disposables.isDisposed) this.#perform([effect]);
  }

  /** Follows the callers' submissions and cancellations until this epoch ends. */
  async #followChanges(epoch: number, fromPosition: number): Promise<void> {
    const { feed, clock } = this.#services;
    let position = fromPosition;
    // Does not wait at first: callers may have cancelled during the load, which can take seconds.
    let waitMs = 0;
    const readPage = () =>
      this.#guard.run('follow', () => feed.follow(SUBMISSION_TABLE, position, waitMs)());
    const readAgain = () =>
      this.#guard.run('read-submissions', async () => right(await this.#reader.readSubmissions()));
    while (this.#scheduler.epoch === epoch && !this.#disposables.isDisposed) {
      const sentAtMs = clock.nowMs();
      // Calls run one after the other, because each continues where the last one ended.
      // eslint-disable-next-line no-await-in-loop
      const page = await readPage();
      if (isLeft(page)) {
        // eslint-disable-next-line no-await-in-loop
        await this.#pause(RETRY_MS);
      } else if (page.right.kind === FeedKind.HistoryLost) {
        // eslint-disable-next-line no-await-in-loop
        const read = await readAgain();
        if (isRight(read) && read.right !== undefined) {
          position = read.right.position;
          this.#scheduler.handleChanges(epoch, read.right.changes, clock.nowMs());
        }
      } else {
        position = page.right.position;
        const changes = this.#reader.toChanges(page.right.rows);
        if (changes.length > 0) this.#scheduler.handleChanges(epoch, changes, clock.nowMs());
        this.#scheduler.handleCaughtUp(epoch, sentAtMs);
        waitMs = FEED_WAIT_MS;
      }
      this.#scheduleStep();
    }
  }

  async #readWorkers(): Promise<void> {
    const { epoch } = this.#scheduler;
    if (epoch === undefined) return;
    const { directory, clock } = this.#services;
    const read = () => this.#guard.run('workers', () => directory.workers()());
    let sentAtMs = clock.nowMs();
    let result = await read();
    if (isLeft(result)) {
      await this.#pause(Math.max(0, RETRY_MS - (clock.nowMs() - sentAtMs)));
      sentAtMs = clock.nowMs();
      result = await read();
    }
    if (isLeft(result)) return;
    this.#scheduler.handleWorkers(epoch, result.right, sentAtMs, clock.nowMs());
    this.#scheduleStep();
  }

  #pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
  }
}
