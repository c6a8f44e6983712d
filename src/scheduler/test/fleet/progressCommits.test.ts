import { right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import {
  assignmentsKey,
  progressKey,
} from '../../../services/submissions/common/submissionRows.js';
import { type Transaction, TransactionOutcome } from '../../../services/table/common/table.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { ProgressCommits } from '../../common/fleet/progressCommits.js';
import { Roster } from '../../common/fleet/roster.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionBook } from '../../common/fleet/submissionBook.js';
import { NO_ASSIGNMENTS } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

/** Submissions of one task each, all given to a worker; the first ones have been cancelled. */
const bookOf = (cancelledCount: number, assignedCount: number): SubmissionBook => {
  const book = new SubmissionBook();
  for (let index = 0; index < cancelledCount + assignedCount; index += 1) {
    book.add(submissionOf(idOf(index), [STEP]), undefined, NO_ASSIGNMENTS, 0);
  }
  [...book.waiting].forEach((task) => {
    book.noteRun(newRun(task, 1, 'worker', 0));
    book.markUnrecorded(task.submission);
  });
  for (let index = 0; index < cancelledCount; index += 1) book.cancel(idOf(index));
  return book;
};

const commitsOf = (book: SubmissionBook) => {
  const commits = new ProgressCommits();
  const roster = new Roster(1);
  const owner = { condition: { key: 'owner', version: 1 }, id: 'self', epoch: 1 };
  const input = {
    book,
    views: [],
    owner,
    interference: new LearningInterferenceControl(),
    roster,
    intervalMs: 30,
  };
  const next = (nowMs: number): Transaction | undefined =>
    commits.next({ ...input, toTableMs: (atMs) => atMs }, nowMs);
  const store = (version: number): number => {
    const result = right({ outcome: TransactionOutcome.Committed, version });
    return commits.handleCommitted(result, book, roster).recorded.length;
  };
  return { next, store };
};

describe('the transactions of the owner', () => {
  it('hold no start back while more ends wait than one of them takes', () => {
    const book = bookOf(100, 3);
    const { next, store } = commitsOf(book);
    const keys = next(0)?.writes.map(({ key }) => key) ?? [];
    [100, 101, 102].forEach((index) => expect(keys).toContain(assignmentsKey(idOf(index))));
    expect(store(5)).toBe(3);
  });

  it('store no assignments without the ends that have changed them', () => {
    const book = bookOf(100, 0);
    const id = 'e'.repeat(16);
    book.add(submissionOf(id, [{ ...STEP, taskCount: 2 }]), undefined, NO_ASSIGNMENTS, 0);
    const [ended, retried] = [...book.waiting];
    if (ended === undefined || retried === undefined) throw new Error('no tasks wait');
    const run = newRun(ended, 1, 'worker', 0);
    book.noteRun(run);
    book.noteEnd(ended, 1, RunEnd.Done, 10);
    book.noteRunGone(run, 10);
    book.noteRun(newRun(retried, 2, 'worker', 20));
    book.markUnrecorded(retried.submission);
    const keys =
      commitsOf(book)
        .next(30)
        ?.writes.map(({ key }) => key) ?? [];
    expect(keys).toContain(assignmentsKey(id));
    expect(keys).toContain(progressKey(id));
  });

  it('name no more rows than a call of the table takes', () => {
    const { next, store } = commitsOf(bookOf(200, 200));
    for (let round = 1; round < 12; round += 1) {
      const { conditions = [], writes = [] } = next(round * 1_000) ?? {};
      expect(conditions.length + writes.length).toBeLessThanOrEqual(100);
      expect(new Set(writes.map(({ key }) => key)).size).toBe(writes.length);
      store(round);
    }
  });
});
