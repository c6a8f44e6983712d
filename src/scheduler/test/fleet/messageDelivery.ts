/** What becomes of a message between a scheduler and a worker. */
import type { RandomSource } from '../../../base/common/random.js';
import { CALL_MS, type WorldFaults } from './worldFaults.js';

export const MessageKind = { Hold: 'hold', Start: 'start', Stop: 'stop' } as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

export interface MessageDelivery {
  /** How long the call is under way. */
  readonly callDelayMs: number;
  /** How long the answer is under way; undefined for one that is lost. */
  readonly answerDelayMs: number | undefined;
  /** How long after the call it arrives once more; undefined for one that does not. */
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

/** Later than any caller waits. */
const MINIMUM_LATE_MS = 1_000;
const LATE_SPREAD_MS = 9_000;
const REPEAT_SPREAD_MS = 4_000;

/** Drawn anew for each message, by the shares of the faults. */
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

  /** Faults that a test does without draw nothing, so that its seeds keep their meaning. */
  #occurs(share: number): boolean {
    return share > 0 && this.#random.nextFraction() < share;
  }
}
