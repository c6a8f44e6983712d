/** The scheduler's policy with one mechanism switched off at a time. */
import type { FaultAvoidance } from '../../src/scheduler/common/fleet/faultAvoidance.js';
import type { ServingPlacement } from '../../src/scheduler/common/fleet/fleetPlacement.js';
import {
  DEFAULT_FLEET_POLICY,
  type FleetPolicy,
} from '../../src/scheduler/common/fleet/fleetPolicy.js';
import type { FleetWorkerView } from '../../src/scheduler/common/fleet/fleetWorkerView.js';
import type { InterferenceAnswer } from '../../src/scheduler/common/fleet/interferenceControl.js';
import { LearningInterferenceControl } from '../../src/scheduler/common/fleet/learningInterferenceControl.js';
import { LEARNS_ALL } from '../../src/scheduler/common/fleet/interferenceModel.js';
import type { TaskRecord } from '../../src/scheduler/common/fleet/taskRecords.js';
import { fitsInto } from '../../src/services/worker/common/resources.js';
import { ArrivalOrder, NoInterferenceControl } from './baselines.js';

/** Stops fillers that slow a service, and never changes their pace. */
class StoppingControl extends LearningInterferenceControl {
  override answer(view: FleetWorkerView, nowMs: number): InterferenceAnswer {
    const { paces, moves } = super.answer(view, nowMs);
    const slowed = paces.filter(({ run, percent }) => percent < run.pacePercent);
    return { paces: [], moves: [...moves, ...slowed.map(({ run }) => run)] };
  }
}

/** Slows fillers, and never stops one to start it elsewhere. */
class PacingControl extends LearningInterferenceControl {
  override answer(view: FleetWorkerView, nowMs: number): InterferenceAnswer {
    const { paces, moves } = super.answer(view, nowMs);
    const stopped = moves
      .filter(({ pacePercent }) => pacePercent > 0)
      .map((run) => ({ run, percent: 0 }));
    return { paces: [...paces, ...stopped], moves: [] };
  }
}

class NoAvoidance implements FaultAvoidance {
  groupsOf(
    _task: TaskRecord,
    views: readonly FleetWorkerView[],
  ): readonly (readonly FleetWorkerView[])[] {
    return [views];
  }
}

/** Services go to the fullest worker with room, whatever else serves there. */
class FullestPlacement implements ServingPlacement {
  choose(task: TaskRecord, views: readonly FleetWorkerView[]): FleetWorkerView | undefined {
    const fitting = views.filter((view) => fitsInto(task.step.size, view.free));
    return fitting.reduce<FleetWorkerView | undefined>(
      (best, view) =>
        best === undefined || view.free.processorMillis < best.free.processorMillis ? view : best,
      undefined,
    );
  }
}

const without = (changed: Partial<FleetPolicy>): FleetPolicy => ({
  ...DEFAULT_FLEET_POLICY,
  ...changed,
});

export const ABLATIONS: Readonly<Record<string, FleetPolicy>> = {
  'order of the queue': without({ order: new ArrivalOrder() }),
  'control of interference': without({
    newInterferenceControl: () => new NoInterferenceControl(),
  }),
  'pacing of fillers': without({ newInterferenceControl: () => new StoppingControl() }),
  'stopping of fillers': without({ newInterferenceControl: () => new PacingControl() }),
  'learning of pairs': without({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...LEARNS_ALL, learnsPairs: false }),
  }),
  'swings of loads': without({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...LEARNS_ALL, followsSwings: false }),
  }),
  'services by image': without({ services: new FullestPlacement() }),
  'avoidance of faulty workers': without({ avoidance: new NoAvoidance() }),
};
