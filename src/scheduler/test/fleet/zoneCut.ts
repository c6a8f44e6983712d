/**
 * Simulates a network partition that cuts an availability zone off from the other zones and from
 * the table. Everything in the zone continues to run.
 */
import type { FleetWorld } from './fleetWorld.js';

/** The table drops the entry of a worker that has been silent for this long. */
export const ENTRY_EXPIRY_MS = 3_300;

export class ZoneCut {
  readonly #world: FleetWorld;

  readonly #workerIds: ReadonlySet<string>;

  readonly #seatIndexes: ReadonlySet<number>;

  constructor(world: FleetWorld, workerIds: Iterable<string>, seatIndexes: Iterable<number> = []) {
    this.#world = world;
    this.#workerIds = new Set(workerIds);
    this.#seatIndexes = new Set(seatIndexes);
    world.schedulerSlots.forEach((slot, index) => {
      const isInside = this.#seatIndexes.has(index);
      slot.isCutFromTable = isInside;
      [...world.workers.keys()]
        .filter((id) => this.#workerIds.has(id) !== isInside)
        .forEach((id) => slot.unreachableWorkers.add(id));
    });
  }

  expireEntries(): void {
    this.#workerIds.forEach((id) => this.#world.listedWorkers.delete(id));
  }

  heal(): void {
    this.#world.schedulerSlots.forEach((slot) => {
      slot.isCutFromTable = false;
      slot.unreachableWorkers.clear();
    });
    this.#workerIds.forEach((id) => this.#world.listedWorkers.add(id));
  }
}
