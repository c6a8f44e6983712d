import { left, right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { ErrorKind, failure } from '../../../services/errors/common/errorKinds.js';
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { progressKey } from '../../../services/submissions/common/submissionRows.js';
import { type Transaction, TransactionOutcome } from '../../../services/table/common/table.js';
import { exceedsLimits } from '../../../../standIns/platform/tableLimits.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { ProgressCommits } from '../../common/fleet/progressCommits.js';
import { Roster } from '../../common/fleet/roster.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { DEFAULT_STORE_LIMITS } from '../../common/fleet/storeLimits.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

const commitsOf = (registry: SubmissionRegistry) => {
  const commits = new ProgressCommits();
  const roster = new Roster(1);
  const input = {
    ...{ registry, views: [], roster, intervalMs: 30, limits: DEFAULT_STORE_LIMITS },
    owner: { condition: { key: 'owner', version: 1 }, id: 'self', epoch: 1 },
    interference: new LearningInterferenceControl(),
    toTableMs: (atMs: number) => atMs,
  };
  const next = (nowMs: number): Transaction | undefined => commits.next(input, nowMs);
  const settle = (transaction: Transaction, isRefused: boolean, nowMs: number): void => {
    const outcome = { outcome: TransactionOutcome.Committed, version: nowMs };
    const refusal = failure(ErrorKind.BodyTooLarge, 'refused');
    const result = isRefused ? left(refusal) : right(outcome);
    const { request } = commits.handleCommitted(result, registry, roster, nowMs);
    if (request !== undefined) commits.handleResolved(right({ rows: [] }));
  };
  return { next, settle };
};

const MAXIMUM_TASKS = 10_000;
/** Ids of workers, names of rows and attempts as large as they may be. */
const LONGEST_ID = 'w'.repeat(195);
const ATTEMPTS = 99;
const HIGHEST_RUN = 9_000_000;
const LARGE_SUBMISSIONS = 3;

// One row that the store refuses kept all others of its transaction from being stored.
describe('the rows of the largest submissions', () => {
  it('are within the limits of the store, and so are their transactions', () => {
    const registry = new SubmissionRegistry();
    const runs: (readonly [TaskRecord, ReturnType<typeof newRun>])[] = [];
    for (let index = 0; index < LARGE_SUBMISSIONS; index += 1) {
      const step = { ...STEP, taskCount: MAXIMUM_TASKS };
      registry.add(submissionOf(idOf(index), [step]), undefined, NO_ASSIGNMENTS, 0);
    }
    [...registry.waiting].forEach((task, index) => {
      const workerId = `${LONGEST_ID}${index % MAXIMUM_TASKS}`;
      for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
        registry.noteEnd(task, HIGHEST_RUN + attempt, RunEnd.Failed, 0);
      }
      const run = newRun(task, HIGHEST_RUN + ATTEMPTS, workerId, 0);
      registry.addRun(run);
      registry.markAssignmentsDirty(task);
      runs.push([task, run]);
    });
    const { next, settle } = commitsOf(registry);
    const writeAll = (fromMs: number): void => {
      const dirtyCount = (): number => registry.dirtyProgress.size + registry.dirtyAssignments.size;
      for (let nowMs = fromMs; dirtyCount() > 0; nowMs += 100) {
        const transaction = next(nowMs);
        if (transaction === undefined) throw new Error('nothing is written any more');
        expect(exceedsLimits(transaction, DEFAULT_STORE_LIMITS)).toBe(false);
        settle(transaction, false, nowMs);
      }
    };
    writeAll(100);
    runs.forEach(([task, run]) => {
      registry.noteEnd(task, run.run, RunEnd.Done, 0);
      registry.removeRun(run, 0);
    });
    writeAll(1_000_000);
  });
});

// The transaction was sent again and again, and nothing else was stored.
describe('a row that the store refuses for good', () => {
  it('is set aside, and all others are stored', () => {
    const registry = new SubmissionRegistry();
    const ids = Array.from({ length: 30 }, (_, index) => idOf(index));
    ids.forEach((id) => {
      registry.add(submissionOf(id, [STEP]), undefined, NO_ASSIGNMENTS, 0);
      registry.cancel(id);
    });
    const refusedKey = progressKey(idOf(17));
    const stored = new Set<string>();
    const { next, settle } = commitsOf(registry);
    for (let nowMs = 100; nowMs < 4_000; nowMs += 100) {
      const transaction = next(nowMs);
      const keys = transaction?.writes.map(({ key }) => key) ?? [];
      const isRefused = keys.includes(refusedKey);
      if (!isRefused) keys.forEach((key) => stored.add(key));
      if (transaction !== undefined) settle(transaction, isRefused, nowMs);
    }
    const others = ids.map(progressKey).filter((key) => key !== refusedKey);
    expect(others.filter((key) => !stored.has(key))).toEqual([]);
    expect(registry.dirtyProgress.size).toBe(1);
  });
});
