/** Records what a submission waits for, so that the log can explain why it ends late. */
import type { PlacementObstacle } from './placementObstacle.js';
import type { DelayCause } from './waitReason.js';

export class SubmissionDelays {
  readonly #waitedMs = new Map<DelayCause, number>();

  #notedAtMs = Number.NEGATIVE_INFINITY;

  /** The number of runs that were assigned or found on workers. */
  runCount = 0;

  /** Whether the log has explained the delay. */
  isReported = false;

  totalWaitedMs = 0;

  /** The number of tasks by kind that ranked higher when the submission had used up its slack. */
  ahead: ReadonlyMap<string, number> | undefined;

  /** The number of workers by obstacle when the submission had used up its slack. */
  obstacles: ReadonlyMap<PlacementObstacle, number> | undefined;

  get waitedMs(): ReadonlyMap<DelayCause, number> {
    return this.#waitedMs;
  }

  /** Adds the time since the last call, or since the tasks became due if that was later. */
  note(cause: DelayCause, waitingSinceMs: number, nowMs: number): void {
    const waitedMs = Math.max(0, nowMs - Math.max(this.#notedAtMs, waitingSinceMs));
    this.#notedAtMs = nowMs;
    this.totalWaitedMs += waitedMs;
    this.#waitedMs.set(cause, (this.#waitedMs.get(cause) ?? 0) + waitedMs);
  }
}
