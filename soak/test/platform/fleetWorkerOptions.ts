/** What the workers of the soak are made of. */
import type { StoreServer } from '../../../platform/test/storeServer.js';
import type { ModelTask } from '../../../standIns/fleet/workerModel.js';
import type { PlatformJudge } from './platformJudge.js';
import type { SoakLog, TaskSize, Zone } from './soakTypes.js';

export const SERVICE = 'soak-service';
export const CAPACITY: TaskSize = { processorMillis: 8_000, memoryMegabytes: 16_000 };
export const MAXIMUM_LEASE_MS = 6_000;
/** How long a worker takes to stop a task. */
export const STOP_MS = 400;
/** How often workers of the platform write their entries; those of the soak write changes only. */
export const REPORT_INTERVAL_MS = 1_100;

/** What callers meet at the address of a worker that is gone. */
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
  /** Lets every worker's time pass, so that what has lapsed elsewhere is over. */
  readonly advanceAll: () => void;
  readonly log: SoakLog;
}
