/** Estimates the earliest time at which a draining worker leaves, from its entry in the table. */
import type { FleetWorkerEntry } from '../../../services/fleet/common/fleetWorker.js';

type DrainEntry = Pick<FleetWorkerEntry, 'isDraining' | 'remainingMs' | 'incarnation'>;

/**
 * An entry holds the time that was left when the worker wrote it, but not the time of the write.
 * The write happened after the last read that did not show the entry, and at most one report
 * interval before the first read that shows it.
 */
export class DrainNotice {
  #lastEntry: DrainEntry | undefined;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  #staysUntilMs: number | undefined;

  /** Undefined if the worker is not draining or does not report its remaining time. */
  get staysUntilMs(): number | undefined {
    return this.#staysUntilMs;
  }

  /** Processes an entry that was read at `readAtMs` or later. */
  update(entry: DrainEntry, reportIntervalMs: number, readAtMs: number): void {
    // Responses to list requests may arrive out of order.
    if (readAtMs < this.#lastReadAtMs) return;
    const { isDraining, remainingMs, incarnation } = entry;
    const isSameIncarnation = this.#lastEntry?.incarnation === incarnation;
    if (!isDraining || !isSameIncarnation) this.#staysUntilMs = undefined;
    const isNewReport = !isSameIncarnation || this.#lastEntry?.remainingMs !== remainingMs;
    if (isDraining && remainingMs !== undefined && isNewReport) {
      const writtenAtMs = Math.max(
        readAtMs - reportIntervalMs,
        isSameIncarnation ? this.#lastReadAtMs : Number.NEGATIVE_INFINITY,
      );
      const staysUntilMs = writtenAtMs + remainingMs;
      this.#staysUntilMs = Math.max(this.#staysUntilMs ?? staysUntilMs, staysUntilMs);
    }
    this.#lastEntry = {
      isDraining,
      incarnation,
      ...(remainingMs === undefined ? {} : { remainingMs }),
    };
    this.#lastReadAtMs = readAtMs;
  }
}
