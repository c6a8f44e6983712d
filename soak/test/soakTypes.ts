/** Sizes of a randomised run, and the types of a simulated daemon and of call faults. */
import type { RoutingTable } from '../../src/entry/common/routing.js';
import type { PlanService } from '../../src/operator/node/planService.js';
import type { EndpointRow } from '../../src/services/workload/common/workRows.js';
import type { CellState } from '../../src/scheduler/common/cellState.js';
import type { SoakReader } from './safeguardFaults.js';

export const ZONES = ['zone-a', 'zone-b'] as const;
export const SERVICE = 'rounds';
export const DAEMON_COUNT = 3;
export const WORKERS_PER_ZONE = 4;
export const WORKERS_PER_RACK = 2;
const GIBIBYTE = 1024 ** 3;
export const CAPACITY = { processorMillis: 8_000, memoryBytes: 32 * GIBIBYTE, acceleratorCount: 2 };
export const TASK_SIZE = {
  processorMillis: 2_000,
  memoryBytes: 2 * GIBIBYTE,
  acceleratorCount: 0,
};

export interface SoakDaemon {
  readonly id: string;
  readonly cells: Map<string, CellState>;
  reader: SoakReader;
  plans: PlanService;
  endpointRows: readonly EndpointRow[];
  routes: RoutingTable;
  isAlive: boolean;
  isPaused: boolean;
  isCut: boolean;
  /** The last time at which a fault kept the daemon from reading the configuration. */
  faultedAtMs: number;
  readonly inbox: (() => void)[];
}

export interface CallFaults {
  isDown: boolean;
  /** The share of messages that may be delayed by up to `lateDelayMs`, past the sender's timeout. */
  lateRatio: number;
  lateDelayMs: number;
  /** The share of answers that are lost after the call took effect. */
  lostRatio: number;
}

export const NO_FAULTS: CallFaults = {
  isDown: false,
  lateRatio: 0,
  lateDelayMs: 8_000,
  lostRatio: 0,
};
