/** A table in virtual time with random delays, lost answers and stale reads. */
import { left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import { TableStandIn } from '../../../../standIns/platform/tableStandIn.js';
import type { Clock } from '../../../base/common/clock.js';
import type { RandomSource } from '../../../base/common/random.js';
import { ErrorKind, failure, type Failure } from '../../errors/common/errorKinds.js';
import type {
  ReadRequest,
  ReadResult,
  TableService,
  Transaction,
  TransactionResult,
} from '../../table/common/table.js';

const MAXIMUM_IDLE_TURNS = 1_000;

interface TimedStep {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs steps in the order of their due times; promises settle between two steps. */
export class VirtualTime implements Clock {
  readonly #steps: TimedStep[] = [];

  #nowMs = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + delayMs;
    const index = this.#steps.findIndex((step) => step.atMs > atMs);
    this.#steps.splice(index < 0 ? this.#steps.length : index, 0, { atMs, run });
  }

  delay = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      this.after(delayMs, resolve);
    });

  /** Pauses the process; steps that become due during the pause run immediately after it. */
  pause(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  /** Runs steps until the given time, or until `work` has settled. */
  async runUntil(untilMs: number, work?: Promise<unknown>): Promise<void> {
    let isSettled = false;
    let idleTurnCount = 0;
    const settle = (): void => {
      isSettled = true;
    };
    void work?.then(settle, settle);
    for (;;) {
      // Lets promise callbacks run before the next step; each step depends on the previous one.
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const step = this.#steps[0];
      if (isSettled) return;
      // Work that yields to requests continues one event loop turn later, without a step.
      if (step === undefined && work !== undefined && idleTurnCount < MAXIMUM_IDLE_TURNS) {
        idleTurnCount += 1;
      } else if (step === undefined || step.atMs > untilMs) break;
      else {
        idleTurnCount = 0;
        this.#runStep(step);
      }
    }
    this.#nowMs = untilMs;
  }

  #runStep(step: TimedStep): void {
    this.#steps.shift();
    this.#nowMs = Math.max(this.#nowMs, step.atMs);
    step.run();
  }
}

/** The behaviour of the table; it may be changed during a run. */
export interface TableBehaviour {
  isDown: boolean;
  minimumDelayMs: number;
  maximumDelayMs: number;
  timeoutMs: number;
  /** The share of transactions that are applied but never answered. */
  lostAnswerRatio: number;
  /** The share of transactions that are applied late and never answered. */
  lateEffectRatio: number;
}

export const DEFAULT_BEHAVIOUR: TableBehaviour = {
  isDown: false,
  minimumDelayMs: 1,
  maximumDelayMs: 5,
  timeoutMs: 800,
  lostAnswerRatio: 0,
  lateEffectRatio: 0,
};

const answerLost = failure(ErrorKind.StoreAnswerLost, 'no answer in time');
const storeDown = failure(ErrorKind.StoreUnavailable, 'the store is down');
/** The maximum delay of a transaction that takes effect late. */
const LATE_EFFECT_MS = 3_000;

export class VirtualTable implements TableService {
  readonly truth = new TableStandIn();

  readonly #time: VirtualTime;

  readonly #random: RandomSource;

  readonly behaviour: TableBehaviour;

  /** The size of all answers to reads, in characters of JSON; benchmarks report it as traffic. */
  readByteCount = 0;

  /** Answers reads with stale rows when set. */
  staleReader: ((request: ReadRequest) => ReadResult) | undefined;

  constructor(time: VirtualTime, random: RandomSource, behaviour: Partial<TableBehaviour> = {}) {
    this.#time = time;
    this.#random = random;
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...behaviour };
  }

  read(request: ReadRequest): TaskEither<Failure, ReadResult> {
    return () =>
      new Promise((resolve) => {
        const { isDown } = this.behaviour;
        this.#time.after(this.#oneWayDelayMs(), () => {
          const read = (this.staleReader ?? ((asked) => this.truth.read(asked)))(request);
          // As over a network, the result shares no object with the table or with another read.
          const text = JSON.stringify(read);
          const result = JSON.parse(text) as ReadResult;
          this.readByteCount += text.length;
          this.#time.after(this.#oneWayDelayMs(), () =>
            resolve(isDown ? left(storeDown) : right(result)),
          );
        });
      });
  }

  transact(transaction: Transaction): TaskEither<Failure, TransactionResult> {
    return () =>
      new Promise((resolve) => {
        const { isDown, lostAnswerRatio, lateEffectRatio, timeoutMs } = this.behaviour;
        const draw = this.#random.nextFraction();
        if (isDown) {
          this.#time.after(this.#oneWayDelayMs(), () => resolve(left(storeDown)));
          return;
        }
        const isLate = draw < lateEffectRatio;
        const isLost = draw < lateEffectRatio + lostAnswerRatio;
        const effectAfterMs = isLate
          ? this.#random.nextFraction() * LATE_EFFECT_MS
          : this.#oneWayDelayMs();
        this.#time.after(effectAfterMs, () => {
          const result = this.truth.transact(transaction);
          if (!isLost) this.#time.after(this.#oneWayDelayMs(), () => resolve(right(result)));
        });
        if (isLost) this.#time.after(timeoutMs, () => resolve(left(answerLost)));
      });
  }

  /** The random delay of one direction; a round trip stays within the timeout. */
  #oneWayDelayMs(): number {
    const { minimumDelayMs, maximumDelayMs } = this.behaviour;
    const spanMs = maximumDelayMs - minimumDelayMs;
    return (minimumDelayMs + this.#random.nextFraction() * spanMs) / 2;
  }
}
