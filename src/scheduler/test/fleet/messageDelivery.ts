/** Decides how messages between schedulers and workers are delayed, lost or repeated. */
import type { RandomSource } from '../../../base/common/random.js';
import { CALL_MS, type WorldFaults } from './worldFaults.js';

export const MessageKind = { Hold: 'hold', Start: 'start', Stop: 'stop' } as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

export interface MessageDelivery {
  /** Time until the call arrives. */
  readonly callDelayMs: number;
  /** Time until the answer arrives; undefined if the answer is lost. */
  readonly answerDelayMs: number | undefined;
  /** Time from the call's arrival until it arrives again; undefined if it arrives only once. */
  readonly repeatAfterMs: number | undefined;
}

export interface MessageDeliveries {
  next(kind: MessageKind): MessageDelivery;
}

export const PROMPT_DELIVERY: MessageDelivery = {
  callDelayMs: CALL_MS,
  answerDelayMs: CALL_MS,
  repeatAfterMs: undefined,
};

/** Longer than any caller waits for an answer. */
const MINIMUM_LATE_MS = 1_000;
const LATE_SPREAD_MS = 9_000;
const REPEAT_SPREAD_MS = 4_000;

/** Chooses the delivery of each message at random, with the shares set in the faults. */
export class RandomDeliveries implements MessageDeliveries {
  readonly #faults: WorldFaults;

  readonly #random: RandomSource;

  constructor(faults: WorldFaults, random: RandomSource) {
    this.#faults = faults;
    this.#random = random;
  }

  next(kind: MessageKind): MessageDelivery {
    const { lateHoldShare, lateOrderShare, lostOrderAnswerShare, repeatedCallShare } = this.#faults;
    const isLate =
      kind === MessageKind.Hold
        ? this.#occurs(lateHoldShare)
        : this.#random.nextFraction() < lateOrderShare;
    return {
      callDelayMs: isLate ? MINIMUM_LATE_MS + this.#random.nextIndex(LATE_SPREAD_MS) : CALL_MS,
      answerDelayMs: this.#occurs(lostOrderAnswerShare) ? undefined : CALL_MS,
      repeatAfterMs: this.#occurs(repeatedCallShare)
        ? this.#random.nextIndex(REPEAT_SPREAD_MS)
        : undefined,
    };
  }

  /** Draws no number for a share of 0, so that tests without a fault keep the runs of their seeds. */
  #occurs(share: number): boolean {
    return share > 0 && this.#random.nextFraction() < share;
  }
}
