import { right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import {
  assignmentsKey,
  progressKey,
} from '../../../services/submissions/common/submissionRows.js';
import { type Transaction, TransactionOutcome } from '../../../services/table/common/table.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { ProgressCommits } from '../../common/fleet/progressCommits.js';
import { Roster } from '../../common/fleet/roster.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { DEFAULT_STORE_LIMITS } from '../../common/fleet/storeLimits.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { entryOf, STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

/** Submissions of one task each, all assigned to a worker; the first ones are cancelled. */
const registryOf = (cancelledCount: number, assignedCount: number): SubmissionRegistry => {
  const registry = new SubmissionRegistry();
  for (let index = 0; index < cancelledCount + assignedCount; index += 1) {
    registry.add(submissionOf(idOf(index), [STEP]), undefined, NO_ASSIGNMENTS, 0);
  }
  [...registry.waiting].forEach((task) => {
    registry.addRun(newRun(task, 1, 'worker', 0));
    registry.markAssignmentsDirty(task);
  });
  for (let index = 0; index < cancelledCount; index += 1) registry.cancel(idOf(index));
  return registry;
};

const commitsOf = (registry: SubmissionRegistry, views: readonly FleetWorkerView[] = []) => {
  const commits = new ProgressCommits();
  const roster = new Roster(1);
  const owner = { condition: { key: 'owner', version: 1 }, id: 'self', epoch: 1 };
  const input = {
    registry,
    views,
    owner,
    interference: new LearningInterferenceControl(),
    roster,
    intervalMs: 30,
    limits: DEFAULT_STORE_LIMITS,
  };
  const next = (nowMs: number): Transaction | undefined =>
    commits.next({ ...input, toTableMs: (atMs) => atMs }, nowMs);
  const commit = (version: number): number => {
    const result = right({ outcome: TransactionOutcome.Committed, version });
    return commits.handleCommitted(result, registry, roster, 0).recorded.length;
  };
  return { next, commit };
};

describe('the transactions of the owner', () => {
  it('do not delay starts while more run ends wait than fit into one of them', () => {
    const registry = registryOf(100, 3);
    const { next, commit } = commitsOf(registry);
    const keys = next(0)?.writes.map(({ key }) => key) ?? [];
    [100, 101, 102].forEach((index) => expect(keys).toContain(assignmentsKey(idOf(index))));
    expect(commit(5)).toBe(3);
  });

  it('store assignments only together with the run ends that changed them', () => {
    const registry = registryOf(100, 0);
    const id = 'e'.repeat(16);
    registry.add(submissionOf(id, [{ ...STEP, taskCount: 2 }]), undefined, NO_ASSIGNMENTS, 0);
    const [ended, retried] = [...registry.waiting];
    if (ended === undefined || retried === undefined) throw new Error('no tasks wait');
    const run = newRun(ended, 1, 'worker', 0);
    registry.addRun(run);
    registry.noteEnd(ended, 1, RunEnd.Done, 10);
    registry.removeRun(run, 10);
    registry.addRun(newRun(retried, 2, 'worker', 20));
    registry.markAssignmentsDirty(retried);
    const keys =
      commitsOf(registry)
        .next(30)
        ?.writes.map(({ key }) => key) ?? [];
    expect(keys).toContain(assignmentsKey(id));
    expect(keys).toContain(progressKey(id));
  });

  it('have no more entries than the table accepts in one call', () => {
    const { next, commit } = commitsOf(registryOf(200, 200));
    for (let round = 1; round < 12; round += 1) {
      const { conditions = [], writes = [] } = next(round * 1_000) ?? {};
      expect(conditions.length + writes.length).toBeLessThanOrEqual(100);
      expect(new Set(writes.map(({ key }) => key)).size).toBe(writes.length);
      commit(round);
    }
  });
});

/** Adds a submission of which the first task has ended. */
const addWithEnd = (registry: SubmissionRegistry, index: number, taskCount: number): void => {
  const submission = submissionOf(idOf(index), [{ ...STEP, taskCount }]);
  registry.add(submission, undefined, NO_ASSIGNMENTS, 0);
  const task = registry.find(`${submission.id}.0.0.0`) as TaskRecord;
  registry.addRun(newRun(task, 1, 'worker', 0));
  registry.noteEnd(task, 1, RunEnd.Done, 10);
};

describe('the end of a submission', () => {
  it('is stored before the progress of submissions that are still running', () => {
    const registry = registryOf(0, 0);
    for (let index = 0; index < 100; index += 1) addWithEnd(registry, index, 2);
    addWithEnd(registry, 100, 1);
    const keys =
      commitsOf(registry)
        .next(20)
        ?.writes.map(({ key }) => key) ?? [];
    expect(keys).toContain(progressKey(idOf(100)));
  });
});

/** More than fit into a transaction. */
const ENDS_PER_ROUND = 60;

describe('the ends that a worker lists', () => {
  it('are acknowledged even if there is always more progress than fits into a transaction', () => {
    const registry = registryOf(0, 0);
    const view = new FleetWorkerView(entryOf('worker', false, 1), 0, 0);
    const { next, commit } = commitsOf(registry, [view]);
    for (let index = 0; index < 2 * ENDS_PER_ROUND; index += 1) addWithEnd(registry, index, 2);
    view.handledSequence = 2 * ENDS_PER_ROUND;
    for (let round = 1; round <= 10; round += 1) {
      next(round * 1_000);
      for (let index = 0; index < ENDS_PER_ROUND; index += 1) {
        addWithEnd(registry, (round + 1) * ENDS_PER_ROUND + index, 2);
      }
      view.handledSequence += ENDS_PER_ROUND;
      commit(round);
    }
    expect(registry.dirtyProgress.size).toBeGreaterThan(0);
    expect(view.recordedSequence).toBeGreaterThanOrEqual(2 * ENDS_PER_ROUND);
    expect(view.recordedSequence).toBeLessThan(view.handledSequence);
  });
});
