/** Finds workers for the tasks of one step, one task after the other. */
import {
  allowsReducedPace,
  isBetter,
  isObstacle,
  rateWorker,
  type Rating,
  type RatingContext,
} from './fleetPlacement.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { TaskRecord } from './taskRecords.js';

/** The worker chosen for a task, and the pace at which the task can run there. */
export interface PlacementChoice {
  readonly view: FleetWorkerView;
  readonly percent: number;
}

interface Rated {
  readonly view: FleetWorkerView;
  /** The `changeCount` of the worker when it was rated. */
  changeCount: number;
  rating: Rating | undefined;
}

/**
 * Keeps the search fast for steps of dozens of tasks on hundreds of workers. All tasks of a step
 * have the same requirements, so each worker is rated once, and again only after it has taken one.
 */
export class WorkerSearch {
  readonly #context: RatingContext;

  readonly #nowMs: number;

  readonly #views: readonly FleetWorkerView[];

  #rated: readonly Rated[] | undefined;

  #allowsSlowStart = false;

  /** The number of ratings computed so far. */
  ratingCount = 0;

  constructor(views: readonly FleetWorkerView[], context: RatingContext, nowMs: number) {
    this.#views = views;
    this.#context = context;
    this.#nowMs = nowMs;
  }

  /** Returns the best worker for the next task of the step, or undefined if none has room. */
  next(task: TaskRecord): PlacementChoice | undefined {
    const allowsSlowStart = task.step.isFiller && allowsReducedPace(task, this.#nowMs);
    if (this.#rated === undefined || allowsSlowStart !== this.#allowsSlowStart)
      this.#rateAll(task, allowsSlowStart);
    let best: FleetWorkerView | undefined;
    let bestRating: Rating | undefined;
    this.#rated?.forEach((rated) => {
      if (rated.changeCount !== rated.view.changeCount) this.#rateAgain(task, rated);
      const { rating } = rated;
      if (rating === undefined) return;
      if (bestRating !== undefined && !isBetter(rating, bestRating)) return;
      best = rated.view;
      bestRating = rating;
    });
    return best && bestRating && { view: best, percent: bestRating.percent };
  }

  #rateAll(task: TaskRecord, allowsSlowStart: boolean): void {
    this.#allowsSlowStart = allowsSlowStart;
    const rated: Rated[] = [];
    this.#views.forEach((view) => {
      const rating = this.#rate(task, view);
      // Workers without room are left out because no room is released within a round.
      if (rating !== undefined) rated.push({ view, changeCount: view.changeCount, rating });
    });
    this.#rated = rated;
  }

  #rateAgain(task: TaskRecord, rated: Rated): void {
    Object.assign(rated, {
      changeCount: rated.view.changeCount,
      rating: this.#rate(task, rated.view),
    });
  }

  #rate(task: TaskRecord, view: FleetWorkerView): Rating | undefined {
    this.ratingCount += 1;
    const rating = rateWorker(task, view, this.#allowsSlowStart, this.#context, this.#nowMs);
    return isObstacle(rating) ? undefined : rating;
  }
}
