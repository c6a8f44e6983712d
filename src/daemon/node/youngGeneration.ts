/**
 * Widens the young generation of the heap once the daemon is busy. A small one keeps an idle
 * daemon small, but under requests it is collected so often that answers which are still on their
 * way survive and are copied. A wide one from the start would hold its memory idle as well.
 */
import { getHeapSpaceStatistics, setFlagsFromString } from 'node:v8';

import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';

const LOOK_INTERVAL_MS = 1_000;
/** Processor time in one look's span that an idle daemon does not use, at its start apart. */
const BUSY_MS = 300;
/** Loading and taking up its cells makes a starting daemon busy for so many looks. */
const STARTING_LOOK_COUNT = 5;
const WIDE_BYTES = 2 ** 23;
const MICROSECONDS_PER_MS = 1_000;
/** Numbers in one array that is kept until the generation is wide. */
const SURVIVOR_LENGTH = 1_000;
/** Bounds the widening where the heap does not grow for it: 16 MB of survivors. */
const MAXIMUM_SURVIVOR_COUNT = 2_000;

const youngBytes = (): number =>
  getHeapSpaceStatistics().find((space) => space.space_name === 'new_space')?.space_size ?? 0;

/**
 * The generation grows only by what survives in it, so something has to. It is held at its new
 * size by the same flag as before; `memoryFlags.ts` tells why it may not grow on its own.
 */
const widen = (): void => {
  setFlagsFromString('--semi-space-growth-factor=2');
  const survivors: number[][] = [];
  while (youngBytes() < WIDE_BYTES && survivors.length < MAXIMUM_SURVIVOR_COUNT) {
    survivors.push(Array.from({ length: SURVIVOR_LENGTH }, () => 0));
  }
  setFlagsFromString('--semi-space-growth-factor=1');
};

const usedMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
};

export class YoungGeneration implements Disposable {
  readonly #timer: PeriodicTimer;

  #lookCount = 0;

  #usedMs = usedMs();

  constructor() {
    this.#timer = new PeriodicTimer(LOOK_INTERVAL_MS, () => this.#look());
  }

  dispose(): void {
    this.#timer.dispose();
  }

  #look(): void {
    const nowUsedMs = usedMs();
    const isBusy = nowUsedMs - this.#usedMs > BUSY_MS;
    this.#usedMs = nowUsedMs;
    this.#lookCount += 1;
    if (!isBusy || this.#lookCount <= STARTING_LOOK_COUNT) return;
    widen();
    this.dispose();
  }
}
