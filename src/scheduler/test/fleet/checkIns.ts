/**
 * Simulates the workers' entries in the table. A check-in renews or restores an entry, and the
 * table drops the entry of a worker without recent check-ins.
 */
import type { FleetWorld } from './fleetWorld.js';
import { ENTRY_EXPIRY_MS } from './zoneCut.js';

const CHECK_IN_MS = 1_000;

export class CheckIns {
  readonly #world: FleetWorld;

  readonly #lastAtMs = new Map<string, number>();

  /** The instants until which the check-ins of a running worker are lost. */
  readonly #lostUntilMs = new Map<string, number>();

  /** Whether network partitions let the worker's check-ins reach the table. */
  readonly #reachesTable: (workerId: string) => boolean;

  constructor(world: FleetWorld, reachesTable: (workerId: string) => boolean) {
    this.#world = world;
    this.#reachesTable = reachesTable;
    [...world.workers.keys()].forEach((id, index) =>
      world.time.later(index * 100, () => this.#checkIn(id)),
    );
  }

  /** Drops the entry now. It comes back with the first check-in after `durationMs`. */
  lapse(workerId: string, durationMs: number): void {
    const { nowMs, listedWorkers } = this.#world;
    listedWorkers.delete(workerId);
    this.#lastAtMs.delete(workerId);
    this.#lostUntilMs.set(workerId, nowMs + durationMs);
  }

  #checkIn(id: string): void {
    const { nowMs, listedWorkers, workers, faults, time } = this.#world;
    const isReceived =
      workers.get(id)?.isUp === true &&
      !faults.isTableDown &&
      this.#reachesTable(id) &&
      nowMs >= (this.#lostUntilMs.get(id) ?? 0);
    if (isReceived) {
      this.#lastAtMs.set(id, nowMs);
      listedWorkers.add(id);
      time.later(ENTRY_EXPIRY_MS, () => this.#expire(id));
    } else this.#expire(id);
    time.later(CHECK_IN_MS, () => this.#checkIn(id));
  }

  #expire(id: string): void {
    const silentMs = this.#world.nowMs - (this.#lastAtMs.get(id) ?? 0);
    if (silentMs >= ENTRY_EXPIRY_MS) this.#world.listedWorkers.delete(id);
  }
}
