/**
 * Collects the buffers that bodies have passed through. They are outside the heap, and V8 lets some
 * 64 MB of them pile up between collections, half of what a daemon may use.
 */
import { collectGarbage } from './memoryFlags.js';

const CHECK_BYTES = 2 ** 20;
const MINIMUM_THRESHOLD_BYTES = 4 * 2 ** 20;
/** Buffers may grow by this factor over what is in use until all are collected again. */
const GROWTH_FACTOR = 1.5;

export class BufferCollector {
  #uncheckedBytes = 0;

  #thresholdBytes = MINIMUM_THRESHOLD_BYTES;

  /** Bytes have passed through buffers. */
  readonly add = (bytes: number): void => {
    this.#uncheckedBytes += bytes;
    if (this.#uncheckedBytes < CHECK_BYTES) return;
    this.#uncheckedBytes = 0;
    if (process.memoryUsage().arrayBuffers < this.#thresholdBytes) return;
    collectGarbage({ type: 'minor' });
    if (process.memoryUsage().arrayBuffers < this.#thresholdBytes) return;
    collectGarbage();
    const usedBytes = process.memoryUsage().arrayBuffers;
    this.#thresholdBytes = Math.max(MINIMUM_THRESHOLD_BYTES, usedBytes * GROWTH_FACTOR);
  };
}
