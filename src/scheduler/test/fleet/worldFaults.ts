/** What may go wrong between the schedulers, the table and the workers of a test. */
import { type Either, left } from 'fp-ts/lib/Either.js';

import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../../services/errors/common/errorKinds.js';
import type { FleetScheduler } from '../../common/fleet/fleetScheduler.js';
import type { VirtualTime } from './virtualTime.js';

/** How long a call takes that nothing delays. */
export const CALL_MS = 2;

export const NO_ANSWER: Either<Failure, never> = left(failure(ErrorKind.AnswerLost, 'no answer'));

/** The connection was refused, so that the call surely never left. */
export const REFUSED: Either<Failure, never> = left({
  ...failure(ErrorKind.AnswerLost, 'refused'),
  workOutcome: WorkOutcome.NotRun,
});

/** What may go wrong with calls, decided anew for each. */
export interface WorldFaults {
  /** Share of orders that get no answer and are carried out late, and how late at most. */
  lateOrderShare: number;
  /** Share of transactions that take effect and get no answer. */
  lostAnswerShare: number;
  isTableDown: boolean;
  /** Owners are told nothing of what callers have done since they read what is stored. */
  isFeedSilent: boolean;
  /** How long each transaction takes until its answer is there. */
  transactionMs: number;
  /** Calls to workers that are cut off are refused at once, as if no process listened there. */
  doCutsRefuse: boolean;
  /** Calls for lists that a worker holds when it is cut off fail at their time limit, no sooner. */
  doHeldCallsHang: boolean;
  /** Share of calls for lists and leases that arrive late and get no answer. */
  lateHoldShare: number;
  /** Share of calls to workers that are carried out and get no answer. */
  lostOrderAnswerShare: number;
  /** Share of calls to workers that arrive once more. */
  repeatedCallShare: number;
  /** Orders reach only the process that they were sent to, not the next one under its id. */
  doCallsNameProcess: boolean;
}

export interface SchedulerSeat {
  scheduler: FleetScheduler | undefined;
  generation: number;
  isCutFromTable: boolean;
  /** Workers that this daemon cannot call. */
  readonly unreachableWorkers: Set<string>;
}

export const noFaults = (): WorldFaults => ({
  lateOrderShare: 0,
  lostAnswerShare: 0,
  isTableDown: false,
  isFeedSilent: false,
  transactionMs: CALL_MS,
  doCutsRefuse: false,
  doHeldCallsHang: false,
  lateHoldShare: 0,
  lostOrderAnswerShare: 0,
  repeatedCallShare: 0,
  doCallsNameProcess: true,
});

export const emptySlot = (): SchedulerSeat => ({
  scheduler: undefined,
  generation: 0,
  isCutFromTable: false,
  unreachableWorkers: new Set(),
});

/** Calls back unless the process that asked has ended since. */
export const replyTo = (
  time: VirtualTime,
  slot: SchedulerSeat,
  delayMs: number,
  run: (scheduler: FleetScheduler) => void,
): void => {
  const { generation } = slot;
  time.later(delayMs, () => {
    if (slot.generation === generation && slot.scheduler !== undefined) run(slot.scheduler);
  });
};
