/**
 * Compares the batch work done with two references. The ideal pool has knowledge that no scheduler
 * has, so the ratio to it is a conservative figure. It is harder to reach while a zone is away,
 * because workers on which batch work harms no service are scarce then. The second reference only
 * requires that the loss of a zone costs no more than its processors: it is the product's own
 * earlier rate, scaled to the share of processors that remain.
 */

/** Work before this time is not counted, because estimates and queues start empty. */
export const WARM_UP_MS = 60_000;
export const ZONE_LEAVES_MS = 300_000;
export const ZONE_RETURNS_MS = 380_000;
/** The end of the period in which work counts as done around the zone loss. */
const ZONE_COUNTED_UNTIL_MS = 440_000;

/** The work of one step of the run, in processor-milliseconds. */
export interface StepWork {
  readonly doneMs: number;
  readonly idealMs: number;
  /** The share of all processors whose zone is in use. */
  readonly remainingShare: number;
}

interface WorkSums {
  total: number;
  beforeZone: number;
  aroundZone: number;
}

const zeroSums = (): WorkSums => ({ total: 0, beforeZone: 0, aroundZone: 0 });

const add = (sums: WorkSums, amountMs: number, nowMs: number): void => {
  const changed = sums;
  if (nowMs >= WARM_UP_MS) changed.total += amountMs;
  if (nowMs >= WARM_UP_MS && nowMs < ZONE_LEAVES_MS) changed.beforeZone += amountMs;
  if (nowMs >= ZONE_LEAVES_MS && nowMs < ZONE_COUNTED_UNTIL_MS) changed.aroundZone += amountMs;
};

export class WorkMeter {
  readonly #done = zeroSums();

  readonly #ideal = zeroSums();

  readonly #expected = zeroSums();

  /** Offered work that is not yet done at the expected rate; at first the product's own backlog. */
  #openMs = 0;

  submit(workMs: number): void {
    this.#openMs += workMs;
  }

  count({ doneMs, idealMs, remainingShare }: StepWork, nowMs: number, elapsedMs: number): void {
    add(this.#done, doneMs, nowMs);
    add(this.#ideal, idealMs, nowMs);
    // Only offered work can be done, so nothing is expected while the queue is empty.
    const expectedMs =
      nowMs < ZONE_LEAVES_MS
        ? doneMs
        : Math.min(this.#openMs, this.#rateBeforeZoneLoss * remainingShare * elapsedMs);
    this.#openMs -= expectedMs;
    add(this.#expected, expectedMs, nowMs);
  }

  get throughputRatio(): number {
    return this.#done.total / this.#ideal.total;
  }

  get zoneRatio(): number {
    return this.#done.aroundZone / this.#ideal.aroundZone;
  }

  get zoneToOwnPace(): number {
    return this.#done.aroundZone / this.#expected.aroundZone;
  }

  /** The work rate before the zone loss, averaged over a whole wave of the services' load. */
  get #rateBeforeZoneLoss(): number {
    return this.#done.beforeZone / (ZONE_LEAVES_MS - WARM_UP_MS);
  }
}
