/** Faults between the schedulers, the table and the workers of a simulated fleet. */
import { type Either, left } from 'fp-ts/lib/Either.js';

import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../../services/errors/common/errorKinds.js';
import type { FleetScheduler } from '../../common/fleet/fleetScheduler.js';
import type { VirtualTime } from './virtualTime.js';

/** How long a call takes if nothing delays it. */
export const CALL_MS = 2;

export const NO_ANSWER: Either<Failure, never> = left(failure(ErrorKind.AnswerLost, 'no answer'));

/** The connection was refused, so the call cannot have been carried out. */
export const REFUSED: Either<Failure, never> = left({
  ...failure(ErrorKind.AnswerLost, 'refused'),
  workOutcome: WorkOutcome.NotRun,
});

/** The faults in force. Shares are probabilities, drawn for each call. */
export interface WorldFaults {
  /** Share of orders that get no answer and are carried out late. */
  lateOrderShare: number;
  /** Share of transactions that get no answer and are applied, at once or later. */
  lostAnswerShare: number;
  isTableDown: boolean;
  /** The feed tells owners nothing of what callers do after the owners read the stored state. */
  isFeedSilent: boolean;
  /** Schedulers receive neither changes nor confirmations of the operator state. */
  isOperatorSilent: boolean;
  /** Owners receive no lists of workers after the load. */
  isWorkerListSilent: boolean;
  /** How long each transaction takes until it is answered. */
  transactionMs: number;
  /** Calls to workers that are cut off are refused at once, as if no process listened there. */
  doCutsRefuse: boolean;
  /** Hold calls that a worker has received before it is cut off fail only at their timeout. */
  doHeldCallsHang: boolean;
  /** Share of hold calls that arrive late and get no answer. */
  lateHoldShare: number;
  /** Share of calls to workers that are carried out but get no answer. */
  lostOrderAnswerShare: number;
  /** Share of calls to workers that arrive twice. */
  repeatedCallShare: number;
  /** Calls reach only the process that they were sent to, not the worker's next process. */
  doCallsNameProcess: boolean;
}

/** Runs one scheduler process at a time; `generation` rises with each start and end. */
export interface SchedulerSlot {
  scheduler: FleetScheduler | undefined;
  generation: number;
  isCutFromTable: boolean;
  /** Workers that this scheduler cannot reach. */
  readonly unreachableWorkers: Set<string>;
}

export const noFaults = (): WorldFaults => ({
  lateOrderShare: 0,
  lostAnswerShare: 0,
  isTableDown: false,
  isFeedSilent: false,
  isOperatorSilent: false,
  isWorkerListSilent: false,
  transactionMs: CALL_MS,
  doCutsRefuse: false,
  doHeldCallsHang: false,
  lateHoldShare: 0,
  lostOrderAnswerShare: 0,
  repeatedCallShare: 0,
  doCallsNameProcess: true,
});

export const emptySlot = (): SchedulerSlot => ({
  scheduler: undefined,
  generation: 0,
  isCutFromTable: false,
  unreachableWorkers: new Set(),
});

/** Delivers a reply after the delay, unless the process that made the call has ended. */
export const replyTo = (
  time: VirtualTime,
  slot: SchedulerSlot,
  delayMs: number,
  run: (scheduler: FleetScheduler) => void,
): void => {
  const { generation } = slot;
  time.later(delayMs, () => {
    if (slot.generation === generation && slot.scheduler !== undefined) run(slot.scheduler);
  });
};
