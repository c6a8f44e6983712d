/** Options and constants of the soak's fleet workers. */
import type { StoreServer } from '../../../platform/test/storeServer.js';
import type { ModelTask } from '../../../standIns/fleet/workerModel.js';
import type { PlatformJudge } from './platformJudge.js';
import type { WriteLog, TaskSize, Zone } from './soakTypes.js';

export const SERVICE = 'soak-service';
export const CAPACITY: TaskSize = { processorMillis: 8_000, memoryMegabytes: 16_000 };
export const MAXIMUM_LEASE_MS = 6_000;
/** The time that a worker takes to stop a task. */
export const STOP_MS = 400;
/** The time within which a change of the configuration must be in force. */
export const CONFIGURATION_BOUND_MS = 2_000;
/** The time within which the withdrawal of a zone must be in force. */
export const WITHDRAWAL_BOUND_MS = 5_000;
/** The longest time for which tasks may start on a draining worker. */
export const DRAIN_BOUND_MS = 2_000;
/** The interval at which real workers write their entries. Soak workers write only changes. */
export const REPORT_INTERVAL_MS = 1_100;

/** How the address of an absent or cut-off worker behaves: no response, or refused connections. */
export const Absence = { Silent: 'silent', Refusing: 'refusing' } as const;
export type Absence = (typeof Absence)[keyof typeof Absence];

export interface FleetWorkerOptions {
  readonly id: string;
  readonly zone: Zone;
  readonly rack: string;
  readonly clockRate: number;
  readonly judge: PlatformJudge;
  readonly store: StoreServer;
  readonly nowMs: () => number;
  readonly taskOf: (taskName: string) => ModelTask;
  readonly isPersistentTask: (taskName: string) => boolean;
  /** Advances all workers, so that runs whose leases have lapsed on other workers are ended. */
  readonly advanceAll: () => void;
  readonly log: WriteLog;
}
