/** Records steps that found no room, so that later rounds check only workers changed since then. */
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { OccurrenceRecord } from './taskRecords.js';

/** Interval of full searches, as loads and waiting times change without a change of a worker. */
const FULL_SEARCH_INTERVAL_MS = 500;

interface Miss {
  /** The last round in which the step found no room. */
  round: number;
  /** Time of the last search of all workers. */
  searchedAtMs: number;
}

interface ViewState {
  readonly changeCount: number;
  readonly sampledAtMs: number;
  /** The first round with this state of the worker. */
  readonly round: number;
}

const EVERY_WORKER = (): boolean => true;

/**
 * Keeps starts and lease renewals on time with thousands of waiting tasks and hundreds of workers:
 * checking every worker for every step in each round would saturate the owner's processor.
 */
export class RoomMisses {
  readonly #misses = new WeakMap<OccurrenceRecord, Map<string, Miss>>();

  #seen = new Map<FleetWorkerView, ViewState>();

  #round = 0;

  /** Begins a round with the workers that can accept tasks. */
  begin(views: readonly FleetWorkerView[]): void {
    this.#round += 1;
    const seen = new Map<FleetWorkerView, ViewState>();
    views.forEach((view) => {
      const { changeCount, sampledAtMs } = view;
      const known = this.#seen.get(view);
      const isSame = known?.changeCount === changeCount && known.sampledAtMs === sampledAtMs;
      seen.set(view, isSame ? known : { changeCount, sampledAtMs, round: this.#round });
    });
    this.#seen = seen;
  }

  /** Returns a filter for the workers that may have room for the step. */
  filterFor(
    occurrence: OccurrenceRecord,
    step: string,
    nowMs: number,
  ): (view: FleetWorkerView) => boolean {
    const miss = this.#misses.get(occurrence)?.get(step);
    if (miss === undefined || nowMs - miss.searchedAtMs >= FULL_SEARCH_INTERVAL_MS) {
      return EVERY_WORKER;
    }
    return (view) => (this.#seen.get(view)?.round ?? 0) > miss.round;
  }

  /** Records that the step found no room among the workers that passed the filter. */
  note(occurrence: OccurrenceRecord, step: string, nowMs: number): void {
    const misses = this.#misses.get(occurrence) ?? new Map<string, Miss>();
    this.#misses.set(occurrence, misses);
    const known = misses.get(step);
    const isStale = known === undefined || nowMs - known.searchedAtMs >= FULL_SEARCH_INTERVAL_MS;
    const searchedAtMs = isStale ? nowMs : known.searchedAtMs;
    misses.set(step, { round: this.#round, searchedAtMs });
  }

  /** Forgets the miss once the step has found room, so that all workers are checked again. */
  clear(occurrence: OccurrenceRecord, step: string): void {
    this.#misses.get(occurrence)?.delete(step);
  }
}
