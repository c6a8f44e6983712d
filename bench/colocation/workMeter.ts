/**
 * Batch work done, beside two measures. The ideal pool knows what no scheduler knows, so a share
 * of it is cautious in steady running and asks more while a zone is away, when the places that
 * are harmless run short. The product's own pace asks only that a zone's loss costs no more than
 * the processors that left: what it did before, for the share of them that stays.
 */

/** Until when nothing is counted: estimates and queues start empty. */
export const WARM_UP_MS = 60_000;
export const ZONE_LEAVES_MS = 300_000;
export const ZONE_RETURNS_MS = 380_000;
/** Until when the work of a zone that leaves and returns is counted. */
const ZONE_COUNTED_UNTIL_MS = 440_000;

/** What one step of the run did, in processor-milliseconds. */
export interface StepWork {
  readonly doneMs: number;
  readonly idealMs: number;
  /** The share of all processors whose zone is in use. */
  readonly remainingShare: number;
}

interface Sums {
  total: number;
  beforeZone: number;
  aroundZone: number;
}

const zeroSums = (): Sums => ({ total: 0, beforeZone: 0, aroundZone: 0 });

const add = (sums: Sums, amountMs: number, nowMs: number): void => {
  const changed = sums;
  if (nowMs >= WARM_UP_MS) changed.total += amountMs;
  if (nowMs >= WARM_UP_MS && nowMs < ZONE_LEAVES_MS) changed.beforeZone += amountMs;
  if (nowMs >= ZONE_LEAVES_MS && nowMs < ZONE_COUNTED_UNTIL_MS) changed.aroundZone += amountMs;
};

export class WorkMeter {
  readonly #done = zeroSums();

  readonly #ideal = zeroSums();

  readonly #expected = zeroSums();

  /** Work offered that the own pace has not done yet; the product's open work when the zone leaves. */
  #openMs = 0;

  submit(workMs: number): void {
    this.#openMs += workMs;
  }

  count({ doneMs, idealMs, remainingShare }: StepWork, nowMs: number, elapsedMs: number): void {
    add(this.#done, doneMs, nowMs);
    add(this.#ideal, idealMs, nowMs);
    // Nobody works at what has not been offered, so the pace pauses where the queue is empty.
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

  /** Processors at work before the zone left; a whole wave of the services' load. */
  get #rateBeforeZoneLoss(): number {
    return this.#done.beforeZone / (ZONE_LEAVES_MS - WARM_UP_MS);
  }
}
