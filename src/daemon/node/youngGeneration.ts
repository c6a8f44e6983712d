/**
 * Grows the young generation of the heap once the daemon is busy. A small young generation keeps the
 * memory of an idle daemon low, but under load it is collected so often that answers in flight
 * survive and are copied. A large one from the start would use its memory also in an idle daemon.
 */
import { getHeapSpaceStatistics, setFlagsFromString } from 'node:v8';

import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';

const CHECK_INTERVAL_MS = 1_000;
/** Processor time per check interval that an idle daemon stays below, except at its start. */
const BUSY_THRESHOLD_MS = 300;
/** Checks to ignore, as loading modules and taking over cells makes a starting daemon busy. */
const STARTUP_CHECK_COUNT = 5;
const GROWN_BYTES = 2 ** 23;
const MICROSECONDS_PER_MS = 1_000;
/** Numbers in one of the arrays that are kept alive until the generation has grown. */
const SURVIVOR_LENGTH = 1_000;
/** Limits the survivors to 16 MB if the generation does not grow. */
const MAXIMUM_SURVIVOR_COUNT = 2_000;

const youngGenerationBytes = (): number =>
  getHeapSpaceStatistics().find((space) => space.space_name === 'new_space')?.space_size ?? 0;

/**
 * Grows the young generation. It grows only if objects survive in it, so this function keeps arrays
 * alive. Afterwards the growth factor is 1 again, so that the generation keeps its new size.
 * `memoryFlags.ts` explains why the generation must not grow without a limit.
 */
const growYoungGeneration = (): void => {
  setFlagsFromString('--semi-space-growth-factor=2');
  const survivors: number[][] = [];
  while (youngGenerationBytes() < GROWN_BYTES && survivors.length < MAXIMUM_SURVIVOR_COUNT) {
    survivors.push(Array.from({ length: SURVIVOR_LENGTH }, () => 0));
  }
  setFlagsFromString('--semi-space-growth-factor=1');
};

const processorTimeMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
};

export class YoungGeneration implements Disposable {
  readonly #timer: PeriodicTimer;

  #checkCount = 0;

  #lastProcessorTimeMs = processorTimeMs();

  constructor() {
    this.#timer = new PeriodicTimer(CHECK_INTERVAL_MS, () => this.#check());
  }

  dispose(): void {
    this.#timer.dispose();
  }

  #check(): void {
    const currentProcessorTimeMs = processorTimeMs();
    const isBusy = currentProcessorTimeMs - this.#lastProcessorTimeMs > BUSY_THRESHOLD_MS;
    this.#lastProcessorTimeMs = currentProcessorTimeMs;
    this.#checkCount += 1;
    if (!isBusy || this.#checkCount <= STARTUP_CHECK_COUNT) return;
    growYoungGeneration();
    this.dispose();
  }
}
