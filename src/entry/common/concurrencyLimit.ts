/** How many requests of a service an entry keeps in flight, following the measured latency. */

const WINDOW_ANSWER_COUNT = 64;
/** Latency above the unloaded one at which the limit stops growing. */
const TOLERANCE = 1.25;
/** The most that one window takes away. */
const STRONGEST_CUT = 0.8;
/** A share of the limit that has to be in use for growth to mean anything. */
const BINDING_SHARE = 0.9;
/** Weight of a window that was not bound by the limit, towards a higher unloaded latency. */
const UNLOADED_WEIGHT = 0.1;
const LOWEST_LIMIT = 2;
/** Growth in a window before the limit was ever cut; later it grows by its square root. */
const START_GROWTH = 1.5;
/** Latency that this process itself may add, which says nothing about the servers. */
const OWN_JITTER_MS = 1;

/** Places of the median and of the latency that one in twenty exceeds, in a sorted window. */
const MEDIAN_INDEX = WINDOW_ANSWER_COUNT / 2;
const HIGH_INDEX = Math.floor(WINDOW_ANSWER_COUNT * 0.95);
const HIGH_WEIGHT = 0.2;

/**
 * Made for saturation. Each entry sees a part of the traffic and cannot count what waits inside
 * a worker; but when the entries together keep more in flight than the workers have slots, the
 * latency of all answers rises above the unloaded one. So the limit grows while it binds and
 * latency stands still, and is cut in proportion when latency rises: what waits, waits here,
 * where urgent requests can overtake and late ones can be refused, and not inside the workers.
 *
 * The median of a window is followed rather than the mean, since one long request in a hundred
 * would move the mean without any queue. The unloaded latency is learnt downwards at once and
 * upwards only in windows that the limit did not bind; otherwise a lasting overload would become
 * the new normal step by step.
 */
export class ConcurrencyLimit {
  readonly #window = new Float64Array(WINDOW_ANSWER_COUNT);

  #windowLength = 0;

  #wasBinding = false;

  #unloadedMs = 0;

  #medianMs = 0;

  #highMs = 0;

  #wasCut = false;

  #limit: number;

  #highest: number;

  constructor(initial: number, highest: number) {
    this.#highest = Math.max(LOWEST_LIMIT, highest);
    this.#limit = Math.min(this.#highest, Math.max(LOWEST_LIMIT, initial));
  }

  get value(): number {
    return Math.floor(this.#limit);
  }

  /** The median latency of the last whole window; zero before there was one. */
  get medianMs(): number {
    return this.#medianMs;
  }

  /** The latency that one answer in twenty exceeds, smoothed; zero while unknown. */
  get highMs(): number {
    return this.#highMs;
  }

  /** Servers came or went, so the limit moves at once. */
  rescale(limit: number, highest: number): void {
    this.#highest = Math.max(LOWEST_LIMIT, highest);
    this.#limit = Math.min(this.#highest, Math.max(LOWEST_LIMIT, limit));
  }

  note(latencyMs: number, inFlightCount: number): void {
    this.#window[this.#windowLength] = latencyMs;
    this.#windowLength += 1;
    if (inFlightCount >= this.#limit * BINDING_SHARE) this.#wasBinding = true;
    if (this.#windowLength < WINDOW_ANSWER_COUNT) return;
    this.#window.sort();
    const highMs = this.#window[HIGH_INDEX] ?? 0;
    this.#highMs =
      this.#highMs === 0 ? highMs : this.#highMs + (highMs - this.#highMs) * HIGH_WEIGHT;
    this.#adjust(this.#window[MEDIAN_INDEX] ?? 0);
    this.#windowLength = 0;
    this.#wasBinding = false;
  }

  #adjust(medianMs: number): void {
    this.#medianMs = medianMs;
    if (this.#unloadedMs === 0 || medianMs < this.#unloadedMs) this.#unloadedMs = medianMs;
    else if (!this.#wasBinding) this.#unloadedMs += (medianMs - this.#unloadedMs) * UNLOADED_WEIGHT;
    const toleratedMs = this.#unloadedMs * TOLERANCE + OWN_JITTER_MS;
    if (medianMs > toleratedMs) {
      this.#wasCut = true;
      this.#limit *= Math.max(STRONGEST_CUT, toleratedMs / medianMs);
    } else if (this.#wasBinding) {
      const step = Math.sqrt(this.#limit) / 2;
      this.#limit = this.#wasCut ? this.#limit + step : this.#limit * START_GROWTH;
    }
    this.#limit = Math.min(this.#highest, Math.max(LOWEST_LIMIT, this.#limit));
  }
}
