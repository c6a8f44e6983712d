/**
 * Makes sure that large submissions of one queue are served nearly as often as others. An order by
 * value per unit of work puts them behind all smaller ones for as long as a backlog lasts.
 */

/** Classes by amount of work: the largest tenth, the fifth below it, and the others. */
export const SizeClass = { Largest: 0, NextLargest: 1, Other: 2 } as const;
export type SizeClass = (typeof SizeClass)[keyof typeof SizeClass];

const NEXT_LARGEST_RANK = 0.7;
const LARGEST_RANK = 0.9;
/** The number of recent sizes that a new submission is compared with. */
const RECENT_SIZE_COUNT = 256;
/** With fewer recent sizes, no submission is classified as large. */
const MINIMUM_SIZE_COUNT = 10;
/** Counts are halved at this limit, so that recent submissions weigh most. */
const COUNT_LIMIT = 1_024;
/**
 * A size class gets reservations if its served share is below this fraction of the served share of
 * all submissions. The fraction is below one because some reserved submissions still end too late.
 */
const MINIMUM_SERVED_FRACTION = 0.7;

interface Counts {
  counted: number;
  served: number;
}

const newCounts = (): Counts => ({ counted: 0, served: 0 });

const halve = (counts: Counts): void => {
  Object.assign(counts, { counted: counts.counted / 2, served: counts.served / 2 });
};

export class SizeBalance {
  readonly #sizes: number[] = [];

  #nextIndex = 0;

  readonly #all = newCounts();

  readonly #classes: readonly Counts[] = Object.values(SizeClass).map(newCounts);

  /** Returns how large a new submission is among recent ones of its queue. */
  classify(processorMs: number): SizeClass {
    const sizeClass = this.#classOf(processorMs);
    this.#sizes[this.#nextIndex] = processorMs;
    this.#nextIndex = (this.#nextIndex + 1) % RECENT_SIZE_COUNT;
    return sizeClass;
  }

  /** Counts a submission that is held up or complete; others don't affect the served share yet. */
  count(sizeClass: SizeClass): void {
    if (this.#all.counted >= COUNT_LIMIT) [this.#all, ...this.#classes].forEach(halve);
    this.#all.counted += 1;
    this.#countsOf(sizeClass).counted += 1;
  }

  recordComplete(sizeClass: SizeClass, isReserved: boolean): void {
    this.#all.served += 1;
    if (!isReserved) this.#countsOf(sizeClass).served += 1;
  }

  /** Makes a reservation if too few submissions of the size are served; returns whether it did. */
  reserve(sizeClass: SizeClass): boolean {
    const counts = this.#countsOf(sizeClass);
    const servedShare = this.#all.served / Math.max(1, this.#all.counted);
    const isDue =
      sizeClass !== SizeClass.Other &&
      counts.served < MINIMUM_SERVED_FRACTION * servedShare * counts.counted;
    if (isDue) counts.served += 1;
    return isDue;
  }

  /** Releases the reservation of a submission that will not be served. */
  release(sizeClass: SizeClass): void {
    this.#countsOf(sizeClass).served -= 1;
  }

  #countsOf(sizeClass: SizeClass): Counts {
    return this.#classes[sizeClass] as Counts;
  }

  #classOf(processorMs: number): SizeClass {
    if (this.#sizes.length < MINIMUM_SIZE_COUNT) return SizeClass.Other;
    const smallerCount = this.#sizes.filter((size) => size < processorMs).length;
    const rank = smallerCount / this.#sizes.length;
    if (rank >= LARGEST_RANK) return SizeClass.Largest;
    return rank >= NEXT_LARGEST_RANK ? SizeClass.NextLargest : SizeClass.Other;
  }
}
