/** Estimates how much headroom each batch image takes from each serving image. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';

/**
 * The prior of an unknown pair: the headroom that a worker full of the batch image takes, and its
 * variance. Of 45 pairs of one heavy day, 29 cost up to 4, half of these about one or less, and 16
 * cost 8 to 23.
 */
const UNKNOWN_LOSS = 3;
const UNKNOWN_VARIANCE = 36;
const MAXIMUM_LOSS = 25;
/** Variance added to a pair per second, because the loss changes over time. */
const PAIR_VARIANCE_PER_S = 0.05;
/** Below this standard deviation, placement relies on the estimate of a pair. */
const KNOWN_PAIR_DEVIATION = 3;
const INHERITED_VARIANCE = 2;
/**
 * Callers choose image names freely, so the number of pairs is unbounded. Only the most recently
 * seen pairs are kept. As many of them are stored for the next owner as safely fit into one row of
 * the table: the table rejects a commit with a row that is a single byte too large.
 */
const MAXIMUM_TRACKED_PAIRS = 2_000;
const MAXIMUM_STORED_PAIRS = 200;
const MAXIMUM_IMAGE_NAME_LENGTH = 64;
const MS_PER_S = 1_000;

export interface PairEstimate {
  readonly servingImage: string;
  readonly fillerImage: string;
  /** The headroom that a worker full of the filler image takes. */
  loss: number;
  /** The variance of `loss`. */
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
  Math.sqrt(variance) < KNOWN_PAIR_DEVIATION;

/** Corrects the estimate of a pair by its share of one sample's error. */
export const updatePair = (pair: PairEstimate, change: number, varianceShare: number): void => {
  pair.loss = Math.min(MAXIMUM_LOSS, Math.max(0, pair.loss + change));
  pair.variance *= varianceShare;
};

const hasShortNames = ({ servingImage, fillerImage }: PairEstimate): boolean =>
  Math.max(servingImage.length, fillerImage.length) <= MAXIMUM_IMAGE_NAME_LENGTH;

export class ImagePairs {
  /** The pairs, least recently seen first. */
  readonly #byLastSeen = new Set<PairEstimate>();

  /** Indexed by serving and filler image, because each worker rating looks up several pairs. */
  readonly #byImages = new Map<string, Map<string, PairEstimate>>();

  /**
   * Loads the estimates of the previous owner. Without them, each change of owner would try every
   * batch image beside every service again.
   */
  inherit(pairs: LearntInterference, nowMs: number): void {
    pairs.forEach(({ servingImage, fillerImage, headroomLoss: loss }) => {
      const pair = { servingImage, fillerImage, loss, variance: INHERITED_VARIANCE };
      this.#store({ ...pair, seenAtMs: nowMs });
    });
  }

  /** Returns the known pairs, to be stored for the next owner. */
  learnt(): LearntInterference {
    const known = [...this.#byLastSeen].filter(isKnownPair).filter(hasShortNames);
    return known.slice(-MAXIMUM_STORED_PAIRS).map(({ servingImage, fillerImage, loss }) => ({
      servingImage,
      fillerImage,
      headroomLoss: Number(loss.toFixed(1)),
    }));
  }

  /** Returns the estimate of a pair, or the prior if there is none. */
  estimate(servingImage: string, fillerImage: string): PairEstimate {
    const known = this.#byImages.get(servingImage)?.get(fillerImage);
    return known ?? unknownPair(servingImage, fillerImage, 0);
  }

  /**
   * Returns the estimate of a pair that runs on one worker now, with the variance added since it
   * was last seen. Keeps it as the most recently seen pair.
   */
  markSeen(servingImage: string, fillerImage: string, nowMs: number): PairEstimate {
    const known = this.#byImages.get(servingImage)?.get(fillerImage);
    const pair = known ?? unknownPair(servingImage, fillerImage, nowMs);
    const seconds = Math.max(0, nowMs - pair.seenAtMs) / MS_PER_S;
    pair.variance = Math.min(UNKNOWN_VARIANCE, pair.variance + PAIR_VARIANCE_PER_S * seconds);
    pair.seenAtMs = nowMs;
    this.#store(pair);
    const [oldest] = this.#byLastSeen;
    if (this.#byLastSeen.size > MAXIMUM_TRACKED_PAIRS && oldest !== undefined) this.#remove(oldest);
    return pair;
  }

  /** Stores the pair as the most recently seen one and replaces a previous estimate. */
  #store(pair: PairEstimate): void {
    const { servingImage, fillerImage } = pair;
    const byFiller = this.#byImages.get(servingImage) ?? new Map<string, PairEstimate>();
    this.#byImages.set(servingImage, byFiller);
    const known = byFiller.get(fillerImage);
    if (known !== undefined) this.#byLastSeen.delete(known);
    byFiller.set(fillerImage, pair);
    this.#byLastSeen.add(pair);
  }

  #remove(pair: PairEstimate): void {
    this.#byLastSeen.delete(pair);
    const byFiller = this.#byImages.get(pair.servingImage);
    byFiller?.delete(pair.fillerImage);
    if (byFiller?.size === 0) this.#byImages.delete(pair.servingImage);
  }
}
