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

/** Moves fillers that slow a service to another worker and never changes their pace. */
class StoppingControl extends LearningInterferenceControl {
  override decide(view: FleetWorkerView, nowMs: number): InterferenceChanges {
    const { paces, moves } = super.decide(view, nowMs);
    const slowed = paces.filter(({ run, percent }) => percent < run.pacePercent);
    return { paces: [], moves: [...moves, ...slowed.map(({ run }) => run)] };
  }
}

/** Slows fillers and never moves one to another worker. */
class PacingControl extends LearningInterferenceControl {
  override decide(view: FleetWorkerView, nowMs: number): InterferenceChanges {
    const { paces, moves } = super.decide(view, nowMs);
    const stopped = moves
      .filter(({ pacePercent }) => pacePercent > 0)
      .map((run) => ({ run, percent: 0 }));
    return { paces: [...paces, ...stopped], moves: [] };
  }
}

/** Ranks all workers alike, regardless of the runs that failed on them. */
class NoFaultAvoidance implements FaultAvoidance {
  newRanking(): FaultRanking {
    return NO_FAULTS;
  }
}

/** Places a service on the fullest worker that has room, regardless of the images running there. */
class FullestPlacement implements ServingPlacement {
  costOf(_task: TaskRecord, view: FleetWorkerView): number {
    return view.free.processorMillis;
  }
}

/** The default policy with the given parts replaced. */
const policyWith = (overrides: Partial<FleetPolicy>): FleetPolicy => ({
  ...DEFAULT_FLEET_POLICY,
  ...overrides,
});

/** One policy per disabled mechanism, by the mechanism's name. */
export const ABLATIONS: Readonly<Record<string, FleetPolicy>> = {
  'queue order': policyWith({ order: new ArrivalOrder() }),
  'interference control': policyWith({
    newInterferenceControl: () => new NoInterferenceControl(),
  }),
  'filler pacing': policyWith({ newInterferenceControl: () => new StoppingControl() }),
  'filler stopping': policyWith({ newInterferenceControl: () => new PacingControl() }),
  'pair learning': policyWith({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...DEFAULT_INTERFERENCE_OPTIONS, learnsPairs: false }),
  }),
  'period learning': policyWith({
    newInterferenceControl: () =>
      new LearningInterferenceControl({ ...DEFAULT_INTERFERENCE_OPTIONS, learnsPeriod: false }),
  }),
  'image affinity': policyWith({ servingPlacement: new FullestPlacement() }),
  'fault avoidance': policyWith({ faultAvoidance: new NoFaultAvoidance() }),
};
