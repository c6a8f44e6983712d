/** Adapts the number of requests of a service that an entry keeps in flight to the latency. */

const WINDOW_ANSWER_COUNT = 64;
/** Indexes of the median and of the 95th percentile in a sorted window. */
const MEDIAN_INDEX = WINDOW_ANSWER_COUNT / 2;
const P95_INDEX = Math.floor(WINDOW_ANSWER_COUNT * 0.95);
/** Weight of a new window. The lowest of many unsmoothed medians would be far too low. */
const WINDOW_SMOOTHING_WEIGHT = 0.25;
/** Ratio to the unloaded latency above which the limit shrinks instead of growing. */
const LATENCY_TOLERANCE_RATIO = 1.25;
/** Latency that this process itself may add, independently of the servers. */
const LOCAL_JITTER_MS = 1;
/** The smallest factor that one window applies to the limit. */
const MINIMUM_CUT_FACTOR = 0.8;
/** Share of the limit that must have been in use for the limit to grow. */
const SATURATED_SHARE = 0.9;
/** Weight with which a window below this entry's share raises the unloaded latency. */
const UNLOADED_INCREASE_WEIGHT = 0.1;
/**
 * Factor on its share of the slots that an entry may always keep in flight. Entries choose servers
 * independently, so with exactly one request for each slot some slots would be empty while others
 * have two requests.
 */
const SLOT_HEADROOM = 1.25;
const MINIMUM_LIMIT = 2;

const smooth = (before: number, next: number, weight: number): number =>
  before === 0 ? next : before + (next - before) * weight;

/**
 * Keeps the queue in the entry under saturation, where urgent requests can go first and late ones
 * can be refused, and not inside the workers. An entry sees only a part of the traffic, so it
 * cannot count the requests that wait inside a worker. But when all entries together keep more in
 * flight than there are slots, the latency of all answers rises above the unloaded latency. The
 * limit therefore grows while it is used up and latency is stable, into the capacity that other
 * entries leave unused, and it shrinks when latency rises.
 *
 * The limit never shrinks below this entry's share of the slots. Fewer requests than slots do not
 * wait for one another, so a lower limit would lose work and gain nothing. With the share as the
 * lower bound, entries that measured different unloaded latencies still get equal shares. Without
 * it the entry with the highest unloaded latency took nearly all (see docs/design/requests.md).
 *
 * The limit follows the median of a window rather than the mean, since one long request in a
 * hundred would move the mean without any queue.
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

  /** `slotShare` is this entry's share of the slots; the limit never exceeds `maximum`. */
  constructor(slotShare: number, maximum: number) {
    this.#maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.#minimum = this.#minimumFor(slotShare);
    this.#limit = this.#minimum;
  }

  get value(): number {
    return this.#limit;
  }

  /** The smoothed median latency; zero before the first full window. */
  get medianMs(): number {
    return this.#medianMs;
  }

  /**
   * The smoothed 95th percentile of the latency, which one answer in twenty exceeds. Before the
   * first full window it is the highest latency so far, and zero before the first answer.
   */
  get p95Ms(): number {
    if (this.#p95Ms > 0) return this.#p95Ms;
    return this.#window.subarray(0, this.#windowLength).reduce((most, ms) => Math.max(most, ms), 0);
  }

  /** Scales the limit at once when servers or entries come or go. */
  rescale(slotShare: number, maximum: number): void {
    const before = this.#minimum;
    this.#maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.#minimum = this.#minimumFor(slotShare);
    this.#limit = this.#clamp((this.#limit * this.#minimum) / before);
  }

  /** Adds the latency of one answer; returns whether the limit may have changed. */
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
   * Takes over a lower latency at once. A higher one counts slowly, and only when this entry used
   * less than its share; otherwise a lasting overload would become the new baseline.
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
