import { describe, expect, it } from 'vitest';

import type { Step } from '../../../services/submissions/common/submission.js';
import { NO_FAULTS } from '../../common/fleet/faultAvoidance.js';
import { DEFAULT_FLEET_POLICY } from '../../common/fleet/fleetPolicy.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { WorkerSearch } from '../../common/fleet/workerSearch.js';
import { entryOf, STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';

const ID = '00000000000000a1';
const WORKER_COUNT = 380;
const TASK_COUNT = 39;

const tasksOf = (step: Step): readonly TaskRecord[] => {
  const registry = new SubmissionRegistry();
  registry.add(submissionOf(ID, [step]), undefined, NO_ASSIGNMENTS, 0);
  return Array.from(
    { length: step.taskCount },
    (_, index) => registry.find(`${ID}.0.0.${index}`) as TaskRecord,
  );
};

const newSearch = (views: readonly FleetWorkerView[]): WorkerSearch => {
  const interference = new LearningInterferenceControl();
  const context = { policy: DEFAULT_FLEET_POLICY, interference, faultRanking: NO_FAULTS };
  return new WorkerSearch(views, context, 0);
};

/** Places each task on the worker found for it and returns the ids of the workers. */
const placeAll = (
  search: WorkerSearch,
  tasks: readonly TaskRecord[],
): readonly (string | undefined)[] =>
  tasks.map((task) => {
    const choice = search.next(task);
    choice?.view.addRun(newRun(task, 1, choice.view.id, 0));
    return choice?.view.id;
  });

const viewsOf = (count: number, racks = 1): readonly FleetWorkerView[] =>
  Array.from({ length: count }, (_, index) => {
    const entry = { ...entryOf(`worker-${index}`, false, 1), rack: `rack-${index % racks}` };
    return new FleetWorkerView(entry, 0, 0);
  });

describe('the worker search for the tasks of one step', () => {
  it('rates each of hundreds of workers once, and again after it has taken a task', () => {
    const search = newSearch(viewsOf(WORKER_COUNT));
    const chosen = placeAll(search, tasksOf({ ...STEP, taskCount: TASK_COUNT }));
    expect(chosen).not.toContain(undefined);
    expect(search.ratingCount).toBeLessThanOrEqual(WORKER_COUNT + TASK_COUNT);
  });

  it('places no more tasks on a worker than it has room for', () => {
    const [view] = viewsOf(1);
    const search = newSearch([view as FleetWorkerView]);
    const size = { ...WORKER_CAPACITY, processorMillis: WORKER_CAPACITY.processorMillis / 2 };
    const step = { ...STEP, taskCount: 3, size: { ...size, memoryBytes: 1 } };
    const chosen = placeAll(search, tasksOf(step));
    expect(chosen).toEqual(['worker-0', 'worker-0', undefined]);
  });

  it('prefers workers on the rack of the data, and uses others when those are full', () => {
    const search = newSearch(viewsOf(2, 2));
    const size = { ...STEP.size, processorMillis: WORKER_CAPACITY.processorMillis };
    const chosen = placeAll(search, tasksOf({ ...STEP, taskCount: 2, size, dataRack: 'rack-1' }));
    expect(chosen).toEqual(['worker-1', 'worker-0']);
  });
});
