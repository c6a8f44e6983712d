/** Hashes that spread work evenly and are the same in every process. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;
const HASH_COUNT = 2 ** 32;

/* eslint-disable no-bitwise -- hashes mix bits */

/** FNV-1a: a whole number in [0, 2^32). */
export const hashOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
};

/**
 * A fraction in [0, 1) from a text. Texts that differ in their last character only, as the ids of
 * successive jobs do, differ little in the high bits of FNV-1a, so these are mixed once more.
 */
export const fractionOf = (text: string): number => {
  let hash = hashOf(text);
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return ((hash ^ (hash >>> 16)) >>> 0) / HASH_COUNT;
};
