/** Variants of the default policy, each with one mechanism disabled. */
import {
  type FaultAvoidance,
  type FaultRanking,
  NO_FAULTS,
} from '../../src/scheduler/common/fleet/faultAvoidance.js';
import type { ServingPlacement } from '../../src/scheduler/common/fleet/fleetPlacement.js';
import {
  DEFAULT_FLEET_POLICY,
  type FleetPolicy,
} from '../../src/scheduler/common/fleet/fleetPolicy.js';
import type { FleetWorkerView } from '../../src/scheduler/common/fleet/fleetWorkerView.js';
import type { InterferenceChanges } from '../../src/scheduler/common/fleet/interferenceControl.js';
import { LearningInterferenceControl } from '../../src/scheduler/common/fleet/learningInterferenceControl.js';
import { DEFAULT_INTERFERENCE_OPTIONS } from '../../src/scheduler/common/fleet/interferenceModel.js';
import type { TaskRecord } from '../../src/scheduler/common/fleet/taskRecords.js';
import { ArrivalOrder, NoInterferenceControl } from './baselines.js';

/** Stops fillers that slow a service and never changes their pace. */
class StoppingControl extends LearningInterferenceControl {
  override decide(view: FleetWorkerView, nowMs: number): InterferenceChanges {
    const { paces, moves } = super.decide(view, nowMs);
    const slowed = paces.filter(({ run, percent }) => percent < run.pacePercent);
    return { paces: [], moves: [...moves, ...slowed.map(({ run }) => run)] };
  }
}

/** Slows fillers and never stops one to restart it elsewhere. */
class PacingControl extends LearningInterferenceControl {
  override decide(view: FleetWorkerView, nowMs: number): InterferenceChanges {
    const { paces, moves } = super.decide(view, nowMs);
    const stopped = moves
      .filter(({ pacePercent }) => pacePercent > 0)
      .map((run) => ({ run, percent: 0 }));
    return { paces: [...paces, ...stopped], moves: [] };
  }
}

class NoAvoidance implements FaultAvoidance {
  newRanking(): FaultRanking {
    return NO_FAULTS;
  }
}

/** Places services on the fullest worker with room, regardless of the images there. */
class FullestPlacement implements ServingPlacement {
  costOf(_task: TaskRecord, view: FleetWorkerView): number {
    return view.free.processorMillis;
  }
}

const without = (changed: Partial<FleetPolicy>): FleetPolicy => ({
  ...DEFAULT_FLEET_POLICY,
  ...changed,
});

export const ABLATIONS: Readonly<Record<string, FleetPolicy>> = {
  'queue order': without({ order: new ArrivalOrder() }),
  'interference control': without({
    newInterferenceControl: () => new NoInterferenceControl(),
  }),
  'filler pacing': without({ newInterferenceControl: () => new StoppingControl() }),
  'filler stopping': without({ newInterferenceControl: () => new PacingControl() }),
  'pair learning': without({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...DEFAULT_INTERFERENCE_OPTIONS, learnsPairs: false }),
  }),
  'period learning': without({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...DEFAULT_INTERFERENCE_OPTIONS, learnsPeriod: false }),
  }),
  'image affinity': without({ servingPlacement: new FullestPlacement() }),
  'fault avoidance': without({ faultAvoidance: new NoAvoidance() }),
};
