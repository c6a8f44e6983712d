/** How many requests of a service an entry keeps in flight, following the measured latency. */

const WINDOW_ANSWER_COUNT = 64;
/** Places of the median and of the latency that one in twenty exceeds, in a sorted window. */
const MEDIAN_INDEX = WINDOW_ANSWER_COUNT / 2;
const HIGH_INDEX = Math.floor(WINDOW_ANSWER_COUNT * 0.95);
/** Weight of one more window; the lowest of many unsmoothed medians would be far too low. */
const WINDOW_WEIGHT = 0.25;
/** Latency above the unloaded one at which the limit shrinks instead of growing. */
const TOLERANCE = 1.25;
/** Latency that this process itself may add, which says nothing about the servers. */
const OWN_JITTER_MS = 1;
/** The most that one window takes away. */
const STRONGEST_CUT = 0.8;
/** A share of the limit that has to be in use for growth to mean anything. */
const BINDING_SHARE = 0.9;
/** Weight of a window in which this entry used less than its share, towards a higher latency. */
const UNLOADED_WEIGHT = 0.1;
/**
 * How much more than its share of the slots an entry may always keep in flight. Entries choose
 * without knowing of one another, so at exactly one request for each slot some slots stand empty
 * while others have two.
 */
const SLOT_HEADROOM = 1.25;
const LOWEST_LIMIT = 2;

const blend = (before: number, next: number, weight: number): number =>
  before === 0 ? next : before + (next - before) * weight;

/**
 * Made for saturation. What waits must wait here, where urgent requests can overtake and late
 * ones can be refused, and not inside the workers. An entry cannot count what waits there, since
 * it sees a part of the traffic, but when the entries together keep more in flight than there
 * are slots, the latency of all answers rises above the unloaded one. So the limit grows while
 * it binds and latency stands still, into what other entries leave unused, and shrinks when
 * latency rises.
 *
 * It never shrinks below this entry's share of the slots. Fewer requests than slots cannot wait
 * for one another, so a cut below that loses work and gains nothing; and with the share as the
 * floor, entries that learnt different unloaded latencies still come out even. Without it the
 * entry that had learnt the highest one took nearly everything (see docs/design/requests.md).
 *
 * The median of a window is followed rather than the mean, since one long request in a hundred
 * would move the mean without any queue.
 */
export class ConcurrencyLimit {
  readonly #window = new Float64Array(WINDOW_ANSWER_COUNT);

  #windowLength = 0;

  #mostInFlight = 0;

  #unloadedMs = 0;

  #medianMs = 0;

  #highMs = 0;

  #floor: number;

  #highest: number;

  #limit: number;

  /** `slotShare` is this entry's share of the slots, `highest` what it may never exceed. */
  constructor(slotShare: number, highest: number) {
    this.#highest = Math.max(LOWEST_LIMIT, highest);
    this.#floor = this.#floorFor(slotShare);
    this.#limit = this.#floor;
  }

  get value(): number {
    return this.#limit;
  }

  /** The smoothed median latency; zero before there was one. */
  get medianMs(): number {
    return this.#medianMs;
  }

  /**
   * The latency that one answer in twenty exceeds, smoothed. Until there was a whole window it
   * is the highest one seen, and zero before there was any.
   */
  get highMs(): number {
    if (this.#highMs > 0) return this.#highMs;
    return this.#window.subarray(0, this.#windowLength).reduce((most, ms) => Math.max(most, ms), 0);
  }

  /** Servers or entries came or went, so the limit moves at once. */
  rescale(slotShare: number, highest: number): void {
    const before = this.#floor;
    this.#highest = Math.max(LOWEST_LIMIT, highest);
    this.#floor = this.#floorFor(slotShare);
    this.#limit = this.#bounded((this.#limit * this.#floor) / before);
  }

  /** Returns whether the limit may have moved. */
  note(latencyMs: number, inFlightCount: number): boolean {
    this.#window[this.#windowLength] = latencyMs;
    this.#windowLength += 1;
    this.#mostInFlight = Math.max(this.#mostInFlight, inFlightCount);
    if (this.#windowLength < WINDOW_ANSWER_COUNT) return false;
    this.#window.sort();
    this.#highMs = blend(this.#highMs, this.#window[HIGH_INDEX] ?? 0, WINDOW_WEIGHT);
    this.#medianMs = blend(this.#medianMs, this.#window[MEDIAN_INDEX] ?? 0, WINDOW_WEIGHT);
    this.#adjust();
    this.#windowLength = 0;
    this.#mostInFlight = 0;
    return true;
  }

  #adjust(): void {
    this.#learnUnloaded();
    const toleratedMs = this.#unloadedMs * TOLERANCE + OWN_JITTER_MS;
    if (this.#medianMs > toleratedMs) {
      const cut = Math.max(STRONGEST_CUT, toleratedMs / this.#medianMs);
      this.#limit = this.#bounded(this.#limit * cut);
    } else if (this.#mostInFlight >= this.#limit * BINDING_SHARE) {
      this.#limit = this.#bounded(this.#limit + Math.sqrt(this.#limit) / 2);
    }
  }

  /**
   * Lower latencies are learnt at once. Higher ones are learnt slowly, and only while this entry
   * used less than its share; otherwise a lasting overload would become the new normal.
   */
  #learnUnloaded(): void {
    if (this.#unloadedMs === 0 || this.#medianMs < this.#unloadedMs) {
      this.#unloadedMs = this.#medianMs;
    } else if (this.#mostInFlight < this.#floor * BINDING_SHARE) {
      this.#unloadedMs = blend(this.#unloadedMs, this.#medianMs, UNLOADED_WEIGHT);
    }
  }

  #floorFor(slotShare: number): number {
    return Math.min(this.#highest, Math.max(LOWEST_LIMIT, slotShare * SLOT_HEADROOM));
  }

  #bounded(limit: number): number {
    return Math.min(this.#highest, Math.max(this.#floor, limit));
  }
}
