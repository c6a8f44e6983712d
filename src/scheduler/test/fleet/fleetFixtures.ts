/** Fixtures for tests of the fleet scheduler: a configuration, steps, timing, worker entries. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { type FleetWorkerEntry, RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type {
  QueueTerms,
  Step,
  Submission,
} from '../../../services/submissions/common/submission.js';
import type { ModelTask } from '../../../../standIns/fleet/workerModel.js';
import { FLEET_TIMING, type FleetTiming } from '../../common/fleet/fleetTiming.js';

export const STEP: Step = {
  taskCount: 1,
  size: { processorMillis: 1_000, memoryBytes: 1_000, acceleratorCount: 0 },
  estimateMs: 500,
  after: [],
  isGang: false,
  prefersOneRack: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerWorker: 0,
  isSpeculative: false,
  isPersistent: false,
  savesProgress: false,
  image: '',
  targetLatencyMs: 0,
  isFiller: false,
  toleratedAwayCount: 0,
};

const TERMS: QueueTerms = {
  priority: 0,
  maximumAttempts: 3,
  objectiveStretch: 2,
  objectiveMs: 1_000,
};

export const submissionOf = (id: string, steps: readonly Step[]): Submission => ({
  id,
  queueName: 'queue',
  serviceName: 'service',
  queueTerms: TERMS,
  spec: `spec of ${id}`,
  steps: [...steps],
  occurrenceCount: 0,
  firstDueWallMs: 0,
  occurrenceIntervalMs: 0,
  acceptedWallMs: 0,
});

export const CONFIGURATION: FleetConfiguration = {
  version: 1,
  queues: [
    {
      name: 'queue',
      host: 'host',
      pathPrefix: '/queue/',
      serviceName: 'service',
      ...TERMS,
      timeoutMs: 3_000,
    },
  ],
  services: [{ name: 'service', guardsCapacity: false }],
  limits: {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** How long a worker in the tests takes to stop a task. */
export const STOP_MS = 500;

export const TIMING: FleetTiming = {
  ...FLEET_TIMING,
  maximumLeaseMs: 6_000,
  workerLeaseLimitMs: 12_000,
  workerReportIntervalMs: 1_500,
  workerStopMs: STOP_MS,
  workerListFreshnessMs: 1_800,
  operatorFreshnessMs: 4_500,
};

export const WORKER_CAPACITY = {
  processorMillis: 4_000,
  memoryBytes: 1_000_000,
  acceleratorCount: 0,
};

export const DONE_AFTER_500_MS = (): ModelTask => ({ workMs: 500, end: RunEnd.Done });

/** Returns a worker's entry as the table lists it. */
export const entryOf = (
  id: string,
  isDraining: boolean,
  incarnation: number,
): FleetWorkerEntry => ({
  id,
  address: id,
  serviceName: 'service',
  availabilityZone: 'zone',
  isDraining,
  capacity: WORKER_CAPACITY,
  labels: [],
  rack: 'rack',
  incarnation,
});
