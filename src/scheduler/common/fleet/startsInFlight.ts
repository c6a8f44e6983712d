/** The starts that have no answer yet, whether they have been sent or wait to be sent. */
import type { RunReference } from '../../../services/fleet/common/fleetWorker.js';
import { runKey } from './fleetWorkerView.js';
import type { TaskRun } from './taskRecords.js';

/** Workers answer within milliseconds. */
const LATE_ANSWER_MS = 100;
/** Where as many starts are late, further ones would wait. */
const LATE_START_LIMIT = 4;

export class StartsInFlight {
  readonly #runs = new Map<string, TaskRun>();

  add(run: TaskRun): void {
    this.#runs.set(runKey(run.task.name, run.run), run);
  }

  find({ taskName, run }: Pick<RunReference, 'taskName' | 'run'>): TaskRun | undefined {
    return this.#runs.get(runKey(taskName, run));
  }

  /** Returns whether the start was in flight. */
  delete({ taskName, run }: Pick<RunReference, 'taskName' | 'run'>): boolean {
    return this.#runs.delete(runKey(taskName, run));
  }

  clear(): void {
    this.#runs.clear();
  }

  /** The workers at which a further start would wait to be sent. */
  congestedWorkers(nowMs: number): ReadonlySet<string> {
    const lateCounts = new Map<string, number>();
    this.#runs.forEach(({ workerId, startedAtMs }) => {
      if (nowMs - startedAtMs < LATE_ANSWER_MS) return;
      lateCounts.set(workerId, (lateCounts.get(workerId) ?? 0) + 1);
    });
    const congested = [...lateCounts].filter(([, count]) => count >= LATE_START_LIMIT);
    return new Set(congested.map(([workerId]) => workerId));
  }
}
