import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { UtilityOrder } from '../../common/fleet/fleetOrder.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

const sortedTasks = (registry: SubmissionRegistry, nowMs: number): readonly TaskRecord[] =>
  new UtilityOrder()
    .sort(registry.waiting.groups, CONFIGURATION, nowMs)
    .flatMap(({ tasks }) => [...tasks]);

const firstOf = (registry: SubmissionRegistry, nowMs: number): TaskRecord | undefined =>
  sortedTasks(registry, nowMs)[0];

describe('the order of waiting tasks', () => {
  it('puts an interrupted persistent task before a backlog of short tasks', () => {
    const registry = new SubmissionRegistry();
    for (let index = 0; index < 300; index += 1) {
      registry.add(submissionOf(idOf(index + 2), [STEP]), undefined, NO_ASSIGNMENTS, 0);
    }
    const persistent = submissionOf(idOf(1), [{ ...STEP, isPersistent: true }]);
    registry.add(persistent, undefined, NO_ASSIGNMENTS, 0);
    const task = registry.find(`${persistent.id}.0.0.0`) as TaskRecord;
    expect(firstOf(registry, 100)).not.toBe(task);
    const run = newRun(task, 1, 'worker', 100);
    registry.addRun(run);
    registry.removeRun(run, 200);
    expect(firstOf(registry, 200)).toBe(task);
  });

  it('puts partly done submissions before new ones of the same size', () => {
    const registry = new SubmissionRegistry();
    const [untouched, begun] = [idOf(1), idOf(2)];
    [untouched, begun].forEach((id) =>
      registry.add(submissionOf(id, [{ ...STEP, taskCount: 4 }]), undefined, NO_ASSIGNMENTS, 0),
    );
    expect(firstOf(registry, 0)?.submission.submission.id).toBe(untouched);
    [0, 1].forEach((index) => {
      const task = registry.find(`${begun}.0.0.${index}`) as TaskRecord;
      const run = newRun(task, 1, 'worker', 0);
      registry.addRun(run);
      registry.noteEnd(task, 1, RunEnd.Done, 100);
      registry.removeRun(run, 100);
    });
    expect(firstOf(registry, 100)?.submission.submission.id).toBe(begun);
  });

  it('puts many small submissions before a large one that arrived with them', () => {
    const registry = new SubmissionRegistry();
    const large = [{ ...STEP, taskCount: 40 }];
    registry.add(submissionOf(idOf(1), large), undefined, NO_ASSIGNMENTS, 0);
    for (let index = 2; index < 12; index += 1) {
      registry.add(submissionOf(idOf(index), [STEP]), undefined, NO_ASSIGNMENTS, 0);
    }
    const order = sortedTasks(registry, 0);
    expect(order.slice(0, 10).every(({ step }) => step.taskCount === 1)).toBe(true);
  });
});
