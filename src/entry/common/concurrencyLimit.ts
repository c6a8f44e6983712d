/** How many requests of a service an entry keeps in flight, following the measured latency. */

const WINDOW_ANSWER_COUNT = 64;
/** Places of the median and of the latency that one in twenty exceeds, in a sorted window. */
const MEDIAN_INDEX = WINDOW_ANSWER_COUNT / 2;
const P95_INDEX = Math.floor(WINDOW_ANSWER_COUNT * 0.95);
/** Weight of one more window; the lowest of many unsmoothed medians would be far too low. */
const WINDOW_SMOOTHING_WEIGHT = 0.25;
/** Latency above the unloaded one at which the limit shrinks instead of growing. */
const LATENCY_TOLERANCE_RATIO = 1.25;
/** Latency that this process itself may add, which says nothing about the servers. */
const LOCAL_JITTER_MS = 1;
/** The most that one window takes away. */
const MINIMUM_CUT_FACTOR = 0.8;
/** A share of the limit that has to be in use for growth to mean anything. */
const SATURATED_SHARE = 0.9;
/** Weight of a window in which this entry used less than its share, towards a higher latency. */
const UNLOADED_INCREASE_WEIGHT = 0.1;
/**
 * How much more than its share of the slots an entry may always keep in flight. Entries choose
 * without knowing of one another, so at exactly one request for each slot some slots stand empty
 * while others have two.
 */
const SLOT_HEADROOM = 1.25;
const MINIMUM_LIMIT = 2;

const smooth = (before: number, next: number, weight: number): number =>
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

  #maximumInFlight = 0;

  #unloadedMs = 0;

  #medianMs = 0;

  #p95Ms = 0;

  #minimum: number;

  #maximum: number;

  #limit: number;

  /** `slotShare` is this entry's share of the slots, `highest` what it may never exceed. */
  constructor(slotShare: number, maximum: number) {
    this.#maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.#minimum = this.#minimumFor(slotShare);
    this.#limit = this.#minimum;
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
    if (this.#p95Ms > 0) return this.#p95Ms;
    return this.#window.subarray(0, this.#windowLength).reduce((most, ms) => Math.max(most, ms), 0);
  }

  /** Servers or entries came or went, so the limit moves at once. */
  rescale(slotShare: number, maximum: number): void {
    const before = this.#minimum;
    this.#maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.#minimum = this.#minimumFor(slotShare);
    this.#limit = this.#clamp((this.#limit * this.#minimum) / before);
  }

  /** Returns whether the limit may have moved. */
  note(latencyMs: number, inFlightCount: number): boolean {
    this.#window[this.#windowLength] = latencyMs;
    this.#windowLength += 1;
    this.#maximumInFlight = Math.max(this.#maximumInFlight, inFlightCount);
    if (this.#windowLength < WINDOW_ANSWER_COUNT) return false;
    this.#window.sort();
    this.#p95Ms = smooth(this.#p95Ms, this.#window[P95_INDEX] ?? 0, WINDOW_SMOOTHING_WEIGHT);
    this.#medianMs = smooth(
      this.#medianMs,
      this.#window[MEDIAN_INDEX] ?? 0,
      WINDOW_SMOOTHING_WEIGHT,
    );
    this.#adjust();
    this.#windowLength = 0;
    this.#maximumInFlight = 0;
    return true;
  }

  #adjust(): void {
    this.#updateUnloaded();
    const toleratedMs = this.#unloadedMs * LATENCY_TOLERANCE_RATIO + LOCAL_JITTER_MS;
    if (this.#medianMs > toleratedMs) {
      const cut = Math.max(MINIMUM_CUT_FACTOR, toleratedMs / this.#medianMs);
      this.#limit = this.#clamp(this.#limit * cut);
    } else if (this.#maximumInFlight >= this.#limit * SATURATED_SHARE) {
      this.#limit = this.#clamp(this.#limit + Math.sqrt(this.#limit) / 2);
    }
  }

  /**
   * Lower latencies are learnt at once. Higher ones are learnt slowly, and only while this entry
   * used less than its share; otherwise a lasting overload would become the new normal.
   */
  #updateUnloaded(): void {
    if (this.#unloadedMs === 0 || this.#medianMs < this.#unloadedMs) {
      this.#unloadedMs = this.#medianMs;
    } else if (this.#maximumInFlight < this.#minimum * SATURATED_SHARE) {
      this.#unloadedMs = smooth(this.#unloadedMs, this.#medianMs, UNLOADED_INCREASE_WEIGHT);
    }
  }

  #minimumFor(slotShare: number): number {
    return Math.min(this.#maximum, Math.max(MINIMUM_LIMIT, slotShare * SLOT_HEADROOM));
  }

  #clamp(limit: number): number {
    return Math.min(this.#maximum, Math.max(this.#minimum, limit));
  }
}
