/** Until when a worker that drains surely goes on, by what it says in the table. */
import type { FleetWorkerEntry } from '../../../services/fleet/common/fleetWorker.js';

type Notice = Pick<FleetWorkerEntry, 'isDraining' | 'remainingMs' | 'incarnation'>;

/**
 * An entry tells how much time was left when it was written, and not when that was. It was written
 * after the reading before the one that shows it first, and no longer ago than the time between two
 * reports of a worker.
 */
export class DrainNotice {
  #known: Notice | undefined;

  #readAtMs = Number.NEGATIVE_INFINITY;

  #staysUntilMs: number | undefined;

  /** Undefined for a worker that does not drain, or does not tell. */
  get staysUntilMs(): number | undefined {
    return this.#staysUntilMs;
  }

  /** Takes in what was read no earlier than `readAtMs`. */
  note(entry: Notice, reportIntervalMs: number, readAtMs: number): void {
    // Lists may be answered in another order than they were asked for.
    if (readAtMs < this.#readAtMs) return;
    const { isDraining, remainingMs, incarnation } = entry;
    const isSameLife = this.#known?.incarnation === incarnation;
    if (!isDraining || !isSameLife) this.#staysUntilMs = undefined;
    const isNew = !isSameLife || this.#known?.remainingMs !== remainingMs;
    if (isDraining && remainingMs !== undefined && isNew) {
      const writtenAtMs = Math.max(
        readAtMs - reportIntervalMs,
        isSameLife ? this.#readAtMs : Number.NEGATIVE_INFINITY,
      );
      const staysUntilMs = writtenAtMs + remainingMs;
      this.#staysUntilMs = Math.max(this.#staysUntilMs ?? staysUntilMs, staysUntilMs);
    }
    this.#known = {
      isDraining,
      incarnation,
      ...(remainingMs === undefined ? {} : { remainingMs }),
    };
    this.#readAtMs = readAtMs;
  }
}
