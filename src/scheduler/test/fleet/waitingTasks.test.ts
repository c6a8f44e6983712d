import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

describe('waiting tasks', () => {
  it('are grouped by step, so that the cost of ranking does not grow with the number of tasks', () => {
    const registry = new SubmissionRegistry();
    for (let index = 0; index < 500; index += 1) {
      const step = { ...STEP, taskCount: 20 };
      registry.add(submissionOf(idOf(index), [step]), undefined, NO_ASSIGNMENTS, 0);
    }
    expect(registry.waiting.size).toBe(10_000);
    expect(registry.waiting.groups).toHaveLength(500);
  });

  it('keep a retry in a separate group, as it prefers other workers', () => {
    const registry = new SubmissionRegistry();
    registry.add(submissionOf(idOf(1), [{ ...STEP, taskCount: 2 }]), undefined, NO_ASSIGNMENTS, 0);
    const task = registry.find(`${idOf(1)}.0.0.0`) as TaskRecord;
    const run = newRun(task, 1, 'worker', 0);
    registry.addRun(run);
    expect(registry.waiting.groups.map(({ tasks }) => tasks.size)).toEqual([1]);
    registry.noteEnd(task, 1, RunEnd.Failed, 100);
    registry.removeRun(run, 100);
    expect(registry.waiting.groups.map(({ tasks }) => tasks.size)).toEqual([1, 1]);
  });
});
