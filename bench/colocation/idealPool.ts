/**
 * An upper bound of the batch work that a scheduler can do. The pool knows the true sizes, run
 * times and interference at each moment, divides and moves work at no cost, and slows no service
 * by more than the tolerated slowdown. Only the replicas are placed as in the run. No scheduler
 * reaches this bound, so a ratio to it is a conservative figure.
 */
import { type BatchKind, loadAt, type ServiceModel } from './workloadModel.js';

/** The processors that services leave free on one worker, and these services. */
export interface WorkerRoom {
  readonly freeMillis: number;
  readonly services: readonly ServiceModel[];
}

interface IdealTask {
  remainingMs: number;
}

interface RemainingRoom {
  freeMillis: number;
  readonly services: readonly ServiceModel[];
  /** The additional slowdown that each service on the worker still tolerates. */
  readonly remainingSlowdowns: number[];
}

export const trueMillis = (kind: BatchKind): number =>
  kind.declared.processorMillis * kind.useRatio;

export class IdealPool {
  readonly #capacityMillis: number;

  readonly #toleratedSlowdown: number;

  readonly #tasks = new Map<BatchKind, IdealTask[]>();

  /** `toleratedSlowdown` is 0.15 for a service that may take 1.15 times as long. */
  constructor(capacityMillis: number, toleratedSlowdown: number) {
    this.#capacityMillis = capacityMillis;
    this.#toleratedSlowdown = toleratedSlowdown;
  }

  submit(kind: BatchKind): void {
    const task = { remainingMs: kind.declaredWorkMs * kind.workRatio };
    this.#tasks.set(kind, [...(this.#tasks.get(kind) ?? []), task]);
  }

  /** Runs the workers for `elapsedMs`. Returns the processor-milliseconds of work done. */
  advance(workers: readonly WorkerRoom[], nowMs: number, elapsedMs: number): number {
    const rooms = workers.map(({ freeMillis, services }) => ({
      freeMillis,
      services,
      remainingSlowdowns: services.map(() => this.#toleratedSlowdown),
    }));
    // The kind with the highest pressure fits on the fewest workers, so it chooses first.
    const kinds = [...this.#tasks.keys()].sort(
      (left, right) =>
        this.#totalPressure(right, rooms, nowMs) - this.#totalPressure(left, rooms, nowMs) ||
        (left.name < right.name ? -1 : 1),
    );
    return kinds.reduce((doneMs, kind) => doneMs + this.#run(kind, rooms, nowMs, elapsedMs), 0);
  }

  #totalPressure(kind: BatchKind, rooms: readonly RemainingRoom[], nowMs: number): number {
    return rooms.reduce((sum, room) => sum + this.#worstPressure(kind, room, nowMs), 0);
  }

  /** The slowdown of each service for each thousandth of a processor that the kind uses. */
  #pressures(kind: BatchKind, { services }: RemainingRoom, nowMs: number): readonly number[] {
    return services.map(
      ({ name }) => (loadAt(nowMs) * kind.pressure(name, nowMs)) / this.#capacityMillis,
    );
  }

  #worstPressure(kind: BatchKind, room: RemainingRoom, nowMs: number): number {
    return Math.max(0, ...this.#pressures(kind, room, nowMs));
  }

  #run(kind: BatchKind, rooms: readonly RemainingRoom[], nowMs: number, elapsedMs: number): number {
    const tasks = this.#tasks.get(kind) ?? [];
    const wantedMillis = tasks.length * trueMillis(kind);
    const grantedMillis = this.#allocate(kind, rooms, wantedMillis, nowMs);
    let unusedMillis = grantedMillis;
    let doneMs = 0;
    tasks.forEach((one) => {
      const task = one;
      const millis = Math.min(trueMillis(kind), unusedMillis);
      unusedMillis -= millis;
      const stepMs = Math.min(task.remainingMs, (elapsedMs * millis) / trueMillis(kind));
      task.remainingMs -= stepMs;
      doneMs += (stepMs * trueMillis(kind)) / 1_000;
    });
    this.#tasks.set(
      kind,
      tasks.filter(({ remainingMs }) => remainingMs > 0),
    );
    return doneMs;
  }

  /** Allocates up to `wantedMillis`, first on the workers where the kind causes least slowdown. */
  #allocate(
    kind: BatchKind,
    rooms: readonly RemainingRoom[],
    wantedMillis: number,
    nowMs: number,
  ): number {
    let allocatedMillis = 0;
    [...rooms]
      .sort(
        (left, right) =>
          this.#worstPressure(kind, left, nowMs) - this.#worstPressure(kind, right, nowMs),
      )
      .forEach((one) => {
        const room = one;
        const pressures = this.#pressures(kind, room, nowMs);
        const limits = pressures.map((pressure, index) =>
          pressure === 0
            ? Number.POSITIVE_INFINITY
            : (room.remainingSlowdowns[index] ?? 0) / pressure,
        );
        const millis = Math.min(wantedMillis - allocatedMillis, room.freeMillis, ...limits);
        if (millis <= 0) return;
        allocatedMillis += millis;
        room.freeMillis -= millis;
        pressures.forEach((pressure, index) => {
          room.remainingSlowdowns[index] =
            (room.remainingSlowdowns[index] ?? 0) - pressure * millis;
        });
      });
    return allocatedMillis;
  }
}
