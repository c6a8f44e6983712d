/** Workers of a simulated fleet that fail every run that starts on them. */
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { FleetWorld } from './fleetWorld.js';

const TICK_MS = 10;
/** A faulty worker fails each run after this time. */
const FAILS_AFTER_MS = 100;

interface FailedRun {
  readonly taskName: string;
  readonly workerId: string;
}

export class FaultyWorkers {
  readonly #world: FleetWorld;

  readonly ids = new Set<string>();

  /** Runs that started on a faulty worker. */
  readonly failed: FailedRun[] = [];

  readonly #handledRuns = new Set<string>();

  constructor(world: FleetWorld) {
    this.#world = world;
  }

  async runFor(durationMs: number): Promise<void> {
    const untilMs = this.#world.nowMs + durationMs;
    while (this.#world.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
      await this.#world.runFor(TICK_MS);
      this.ids.forEach((id) => this.#failNew(id));
    }
  }

  #failNew(workerId: string): void {
    this.#world.workers.get(workerId)?.runs.forEach((run) => {
      const key = `${run.taskName}#${run.run}`;
      if (this.#handledRuns.has(key) || run.startedAtMs < this.#world.nowMs - TICK_MS) return;
      this.#handledRuns.add(key);
      this.failed.push({ taskName: run.taskName, workerId });
      Object.assign(run, { end: RunEnd.Failed, endsAtMs: run.startedAtMs + FAILS_AFTER_MS });
    });
  }
}
