/** Records steps that found no room, so that later rounds check only workers that changed since. */
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { OccurrenceRecord } from './taskRecords.js';

/** Interval of full searches, because loads and waiting times change even if workers don't. */
const FULL_SEARCH_INTERVAL_MS = 500;

interface Miss {
  /** The last round in which the step found no room. */
  round: number;
  /** Time of the last search of all workers. */
  searchedAtMs: number;
}

interface ViewState {
  readonly view: FleetWorkerView;
  changeCount: number;
  sampledAtMs: number;
  /** The first round with this state of the worker. */
  round: number;
  /** The last round in which the worker could accept tasks. */
  lastRound: number;
}

const isStale = ({ searchedAtMs }: Miss, nowMs: number): boolean =>
  nowMs - searchedAtMs >= FULL_SEARCH_INTERVAL_MS;

/**
 * Keeps starts and lease renewals on time with thousands of waiting tasks and hundreds of workers:
 * checking every worker for every step in each round would saturate the owner's processor.
 */
export class RoomMisses {
  readonly #misses = new WeakMap<OccurrenceRecord, Map<string, Miss>>();

  readonly #states = new WeakMap<FleetWorkerView, ViewState>();

  #current: readonly ViewState[] = [];

  /** `#current` sorted by the round of the last change, latest first; computed when needed. */
  #byChange: readonly ViewState[] | undefined;

  /** Workers changed since a round, by round and service; many steps miss in the same round. */
  readonly #changed = new Map<string, readonly FleetWorkerView[]>();

  #round = 0;

  /** Begins a round with the workers that can accept tasks. */
  beginRound(views: readonly FleetWorkerView[]): void {
    this.#round += 1;
    this.#changed.clear();
    this.#byChange = undefined;
    this.#current = views.map((view) => this.#stateOf(view));
  }

  /** The workers that may have room for the step, out of all that can run it. */
  candidates(
    occurrence: OccurrenceRecord,
    step: string,
    serviceName: string,
    views: readonly FleetWorkerView[],
    nowMs: number,
  ): readonly FleetWorkerView[] {
    const miss = this.#misses.get(occurrence)?.get(step);
    if (miss === undefined || isStale(miss, nowMs)) return views;
    return this.#changedSince(miss.round, serviceName);
  }

  /** Records that the step found no room among its candidates. */
  recordMiss(occurrence: OccurrenceRecord, step: string, nowMs: number): void {
    const misses = this.#misses.get(occurrence) ?? new Map<string, Miss>();
    this.#misses.set(occurrence, misses);
    const known = misses.get(step);
    const isFullSearch = known === undefined || isStale(known, nowMs);
    const searchedAtMs = isFullSearch ? nowMs : known.searchedAtMs;
    misses.set(step, { round: this.#round, searchedAtMs });
  }

  #stateOf(view: FleetWorkerView): ViewState {
    const { changeCount, sampledAtMs } = view;
    const round = this.#round;
    const known = this.#states.get(view);
    if (known === undefined) {
      const state = { view, changeCount, sampledAtMs, round, lastRound: round };
      this.#states.set(view, state);
      return state;
    }
    const isSame = known.changeCount === changeCount && known.sampledAtMs === sampledAtMs;
    if (!isSame || known.lastRound !== round - 1) {
      Object.assign(known, { changeCount, sampledAtMs, round });
    }
    known.lastRound = round;
    return known;
  }

  #changedSince(round: number, serviceName: string): readonly FleetWorkerView[] {
    const key = `${round} ${serviceName}`;
    const known = this.#changed.get(key);
    if (known !== undefined) return known;
    this.#byChange ??= [...this.#current].sort((left, right) => right.round - left.round);
    const firstOlder = this.#byChange.findIndex((state) => state.round <= round);
    const newer = firstOlder < 0 ? this.#byChange : this.#byChange.slice(0, firstOlder);
    const changed = newer
      .filter(({ view }) => view.entry.serviceName === serviceName)
      .map(({ view }) => view);
    this.#changed.set(key, changed);
    return changed;
  }
}
