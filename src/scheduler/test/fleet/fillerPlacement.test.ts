import { describe, expect, it } from 'vitest';

import type { Step } from '../../../services/submissions/common/submission.js';
import { NO_FAULTS } from '../../common/fleet/faultAvoidance.js';
import { DEFAULT_FLEET_POLICY } from '../../common/fleet/fleetPolicy.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, RunState, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { WorkerSearch } from '../../common/fleet/workerSearch.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const CAPACITY = { processorMillis: 16_000, memoryBytes: 1_000_000, acceleratorCount: 0 };
const SERVING: Step = { ...STEP, image: 'serves', targetLatencyMs: 18, isPersistent: true };
const FILLER: Step = {
  ...STEP,
  ...{ isFiller: true, image: 'fills', estimateMs: 4_000 },
  size: { ...STEP.size, processorMillis: 3_000 },
};
const POLL_INTERVAL_MS = 600;

describe('a filler that no service tolerates at full pace', () => {
  it('starts at a tolerated lower pace after a limited wait', () => {
    // A tail latency of 11 ms leaves less headroom than the worst case of an unknown filler image.
    const registry = new SubmissionRegistry();
    registry.add(submissionOf('00000000000000d1', [SERVING, FILLER]), undefined, NO_ASSIGNMENTS, 0);
    registry.add(submissionOf('00000000000000d2', [FILLER]), undefined, NO_ASSIGNMENTS, 0);
    const view = new FleetWorkerView(
      {
        ...{ id: 'worker', address: 'worker', serviceName: 'service', availabilityZone: 'zone' },
        ...{ isDraining: false, capacity: CAPACITY, labels: [], rack: '', incarnation: 1 },
      },
      0,
      0,
    );
    const serving = newRun(registry.find('00000000000000d1.0.0.0') as TaskRecord, 1, 'worker', 0);
    serving.state = RunState.Running;
    serving.recentMeasurement = 11;
    view.addRun(serving);
    const interference = new LearningInterferenceControl();
    const filler = registry.find('00000000000000d2.0.0.0') as TaskRecord;
    const context = { policy: DEFAULT_FLEET_POLICY, interference, faultRanking: NO_FAULTS };
    const paceAt = (nowMs: number): number | undefined =>
      new WorkerSearch([view], context, nowMs).next(filler)?.percent;
    for (let nowMs = 0; nowMs <= 3_000; nowMs += POLL_INTERVAL_MS)
      interference.observe(view, nowMs);
    expect(paceAt(600)).toBeUndefined();
    expect(paceAt(3_000)).toBeGreaterThanOrEqual(10);
    expect(paceAt(3_000)).toBeLessThan(100);
  });
});
