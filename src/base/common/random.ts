/** Random sources. Code takes one as an argument, so that a seed reproduces every decision. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const FRACTION_STEPS = 2 ** 30;

/** A source of random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  nextFraction(): number;
  /** A whole number in [0, exclusiveLimit). */
  nextIndex(exclusiveLimit: number): number;
}

/** A seeded source; equal seeds give equal sequences. */
export class SeededRandom implements RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  nextFraction(): number {
    return uniformInt(this.#generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  nextIndex(exclusiveLimit: number): number {
    return uniformInt(this.#generator, 0, exclusiveLimit - 1);
  }
}
