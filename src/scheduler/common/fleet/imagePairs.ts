/** How much headroom each image of batch work takes from each image that serves, as learnt. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';

/**
 * What a worker full of an unknown image is taken to cost, as headroom, and how uncertain that is.
 * Of 45 pairs of one heavy day 29 cost up to 4, half of these about one or less, and 16 cost 8 to
 * 23.
 */
const UNKNOWN_LOSS = 3;
const UNKNOWN_VARIANCE = 36;
const GREATEST_LOSS = 25;
/** Variance that a known pair gains in a second, as the amounts change with time. */
const PAIR_VARIANCE_PER_S = 0.05;
/** A pair below this deviation is known well enough to be placed by. */
const KNOWN_DEVIATION = 3;
const INHERITED_VARIANCE = 2;
/**
 * Callers name images as they like. The pairs seen last are kept, and of these as many are handed
 * to a successor as fit well into one row of the table: one more byte than a row holds, and no
 * commit would be taken any more.
 */
const MAXIMUM_PAIRS = 2_000;
const MAXIMUM_LEARNT = 200;
const LONGEST_IMAGE_NAME = 64;
const MS_PER_S = 1_000;

export interface PairEstimate {
  readonly servingImage: string;
  readonly fillerImage: string;
  /** Headroom that a worker full of the filler takes. */
  loss: number;
  /** Of `loss`. */
  variance: number;
  seenAtMs: number;
}

const unknownPair = (servingImage: string, fillerImage: string, nowMs: number): PairEstimate => ({
  servingImage,
  fillerImage,
  loss: UNKNOWN_LOSS,
  variance: UNKNOWN_VARIANCE,
  seenAtMs: nowMs,
});

export const isKnownPair = ({ variance }: PairEstimate): boolean =>
  Math.sqrt(variance) < KNOWN_DEVIATION;

/** Takes in what one figure tells of a pair. */
export const correctPair = (pair: PairEstimate, change: number, varianceShare: number): void => {
  pair.loss = Math.min(GREATEST_LOSS, Math.max(0, pair.loss + change));
  pair.variance *= varianceShare;
};

const hasShortNames = ({ servingImage, fillerImage }: PairEstimate): boolean =>
  Math.max(servingImage.length, fillerImage.length) <= LONGEST_IMAGE_NAME;

export class ImagePairs {
  /** In the order in which they were seen last. */
  readonly #bySeen = new Set<PairEstimate>();

  /** By serving image, then by filler image: each rating of a worker asks for several. */
  readonly #byImages = new Map<string, Map<string, PairEstimate>>();

  /**
   * Takes over what a former owner has learnt. Without it each change of owner let every kind of
   * batch work loose on every service once more.
   */
  inherit(pairs: LearntInterference, nowMs: number): void {
    pairs.forEach(({ servingImage, fillerImage, headroomLoss: loss }) => {
      const pair = { servingImage, fillerImage, loss, variance: INHERITED_VARIANCE };
      this.#keep({ ...pair, seenAtMs: nowMs });
    });
  }

  /** The pairs that are known by now, for a successor. */
  learnt(): LearntInterference {
    const known = [...this.#bySeen].filter(isKnownPair).filter(hasShortNames);
    return known.slice(-MAXIMUM_LEARNT).map(({ servingImage, fillerImage, loss }) => ({
      servingImage,
      fillerImage,
      headroomLoss: Number(loss.toFixed(1)),
    }));
  }

  /** What is known or else assumed of a pair. */
  estimate(servingImage: string, fillerImage: string): PairEstimate {
    const known = this.#byImages.get(servingImage)?.get(fillerImage);
    return known ?? unknownPair(servingImage, fillerImage, 0);
  }

  /** The pair, seen beside one another now: it is kept, and has become less certain since. */
  seen(servingImage: string, fillerImage: string, nowMs: number): PairEstimate {
    const known = this.#byImages.get(servingImage)?.get(fillerImage);
    const pair = known ?? unknownPair(servingImage, fillerImage, nowMs);
    const seconds = Math.max(0, nowMs - pair.seenAtMs) / MS_PER_S;
    pair.variance = Math.min(UNKNOWN_VARIANCE, pair.variance + PAIR_VARIANCE_PER_S * seconds);
    pair.seenAtMs = nowMs;
    this.#keep(pair);
    const [oldest] = this.#bySeen;
    if (this.#bySeen.size > MAXIMUM_PAIRS && oldest !== undefined) this.#forget(oldest);
    return pair;
  }

  /** Takes the pair for the one seen last, in place of what was known of its images. */
  #keep(pair: PairEstimate): void {
    const { servingImage, fillerImage } = pair;
    const byFiller = this.#byImages.get(servingImage) ?? new Map<string, PairEstimate>();
    this.#byImages.set(servingImage, byFiller);
    const known = byFiller.get(fillerImage);
    if (known !== undefined) this.#bySeen.delete(known);
    byFiller.set(fillerImage, pair);
    this.#bySeen.add(pair);
  }

  #forget(pair: PairEstimate): void {
    this.#bySeen.delete(pair);
    const byFiller = this.#byImages.get(pair.servingImage);
    byFiller?.delete(pair.fillerImage);
    if (byFiller?.size === 0) this.#byImages.delete(pair.servingImage);
  }
}
