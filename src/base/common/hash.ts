/** Hash functions that distribute work evenly and give the same result in every process. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;
const HASH_COUNT = 2 ** 32;

/* eslint-disable no-bitwise -- hashes mix bits */

/** Returns the FNV-1a hash of a text: a whole number in [0, 2^32). */
export const hashOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
};

/**
 * Maps a text to a fraction in [0, 1). The high bits of FNV-1a hardly differ between texts that
 * differ only in their last character, such as the ids of successive jobs. A second mixing step
 * spreads them.
 */
export const hashFraction = (text: string): number => {
  let hash = hashOf(text);
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return ((hash ^ (hash >>> 16)) >>> 0) / HASH_COUNT;
};
