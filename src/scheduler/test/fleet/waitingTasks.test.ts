import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionBook } from '../../common/fleet/submissionBook.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

describe('waiting tasks', () => {
  it('are grouped by step, so that the cost of ranking does not grow with the number of tasks', () => {
    const book = new SubmissionBook();
    for (let index = 0; index < 500; index += 1) {
      const step = { ...STEP, taskCount: 20 };
      book.add(submissionOf(idOf(index), [step]), undefined, NO_ASSIGNMENTS, 0);
    }
    expect(book.waiting.size).toBe(10_000);
    expect(book.waiting.groups).toHaveLength(500);
  });

  it('keep a retry in a separate group, as it prefers other workers', () => {
    const book = new SubmissionBook();
    book.add(submissionOf(idOf(1), [{ ...STEP, taskCount: 2 }]), undefined, NO_ASSIGNMENTS, 0);
    const task = book.find(`${idOf(1)}.0.0.0`) as TaskRecord;
    const run = newRun(task, 1, 'worker', 0);
    book.noteRun(run);
    expect(book.waiting.groups.map(({ tasks }) => tasks.size)).toEqual([1]);
    book.noteEnd(task, 1, RunEnd.Failed, 100);
    book.noteRunGone(run, 100);
    expect(book.waiting.groups.map(({ tasks }) => tasks.size)).toEqual([1, 1]);
  });
});
