/**
 * Sends pace changes for fillers to their workers: decisions of the interference control, and the
 * reduced pace of runs that start slowed down. The pace is the percentage of full speed.
 */
import type { FleetEffect } from './fleetEffects.js';
import { paceEffect } from './fleetCalls.js';
import { StopReason } from './decisionLog.js';
import type { FleetState } from './fleetState.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { PaceChange } from './interferenceControl.js';
import { RunState, type TaskRun } from './taskRecords.js';

export class FillerPacing {
  readonly #inFlight = new Set<TaskRun>();

  /** Started runs whose reduced pace has not been sent to the worker yet. */
  readonly #reducedStarts = new Set<TaskRun>();

  handleStarted(run: TaskRun): void {
    if (run.plannedPercent < run.pacePercent) this.#reducedStarts.add(run);
  }

  /** Handles the response to a pace command, whether it succeeded or not. */
  handleAnswered(run: TaskRun): void {
    this.#inFlight.delete(run);
  }

  /** Records a pace that the worker has accepted. */
  static recordAccepted(run: TaskRun, percent: number, nowMs: number): void {
    if (percent < run.pacePercent) run.paceLoweredAtMs = nowMs;
    run.pacePercent = percent;
    run.plannedPercent = Math.max(run.plannedPercent, percent);
  }

  clear(): void {
    this.#inFlight.clear();
    this.#reducedStarts.clear();
  }

  /** Returns the pace commands that are due and requests stops for runs that must move. */
  effects(state: FleetState, nowMs: number): readonly FleetEffect[] {
    const effects = this.#startEffects(state);
    state.views.forEach((view) => {
      const { paces, moves } = state.interference.decide(view, nowMs);
      if (paces.length + moves.length > 0) view.pacedAtMs = nowMs;
      state.runTracker.requestStops(moves, StopReason.Interference, nowMs);
      const changes = paces.filter(({ run }) => !this.#inFlight.has(run));
      state.decisionLog.addPaces(changes);
      changes.forEach((change) => effects.push(this.#send(state, view, change)));
    });
    return effects;
  }

  #startEffects(state: FleetState): FleetEffect[] {
    const effects: FleetEffect[] = [];
    this.#reducedStarts.forEach((run) => {
      const view = state.views.get(run.workerId);
      const isRunning = run.state === RunState.Running && view?.hasRun(run) === true;
      if (!isRunning || this.#inFlight.has(run)) return;
      const change = { run, percent: run.plannedPercent };
      state.decisionLog.addPaces([change]);
      effects.push(this.#send(state, view, change));
    });
    this.#reducedStarts.clear();
    return effects;
  }

  #send(state: FleetState, view: FleetWorkerView, change: PaceChange): FleetEffect {
    this.#inFlight.add(change.run);
    return paceEffect(state, view, change);
  }
}
