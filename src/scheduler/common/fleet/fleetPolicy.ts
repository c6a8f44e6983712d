/** The replaceable policies of the fleet scheduler. */
import { type PlacementCosts, SpreadAndPackPolicy } from '../placement.js';
import { CircuitBreakerAvoidance, type FaultAvoidance } from './faultAvoidance.js';
import { type QueueOrder, UtilityOrder } from './fleetOrder.js';
import { ImageAffinityPlacement, type ServingPlacement } from './fleetPlacement.js';
import type { InterferenceControl } from './interferenceControl.js';
import { LearningInterferenceControl } from './learningInterferenceControl.js';
import { DEFAULT_STORE_LIMITS, type StoreLimits } from './storeLimits.js';

export interface FleetPolicy {
  readonly storeLimits: StoreLimits;
  readonly order: QueueOrder;
  readonly faultAvoidance: FaultAvoidance;
  /** For serving tasks. */
  readonly servingPlacement: ServingPlacement;
  /** For tasks that are neither serving tasks nor fillers. */
  readonly placement: PlacementCosts;
  /** Called once for each epoch in which this daemon owns the fleet. */
  readonly newInterferenceControl: () => InterferenceControl;
}

export const DEFAULT_FLEET_POLICY: FleetPolicy = {
  storeLimits: DEFAULT_STORE_LIMITS,
  order: new UtilityOrder(),
  faultAvoidance: new CircuitBreakerAvoidance(),
  servingPlacement: new ImageAffinityPlacement(),
  placement: new SpreadAndPackPolicy(),
  newInterferenceControl: () => new LearningInterferenceControl(),
};
