import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { UtilityOrder } from '../../common/fleet/fleetOrder.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionBook } from '../../common/fleet/submissionBook.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';

const idOf = (index: number): string => index.toString(16).padStart(16, '0');

const sortedTasks = (book: SubmissionBook, nowMs: number): readonly TaskRecord[] =>
  new UtilityOrder()
    .sort(book.waiting.groups, CONFIGURATION, nowMs)
    .flatMap(({ tasks }) => [...tasks]);

const firstOf = (book: SubmissionBook, nowMs: number): TaskRecord | undefined =>
  sortedTasks(book, nowMs)[0];

describe('the order of waiting tasks', () => {
  it('puts an interrupted persistent task before a backlog of short tasks', () => {
    const book = new SubmissionBook();
    for (let index = 0; index < 300; index += 1) {
      book.add(submissionOf(idOf(index + 2), [STEP]), undefined, NO_ASSIGNMENTS, 0);
    }
    const persistent = submissionOf(idOf(1), [{ ...STEP, isPersistent: true }]);
    book.add(persistent, undefined, NO_ASSIGNMENTS, 0);
    const task = book.find(`${persistent.id}.0.0.0`) as TaskRecord;
    expect(firstOf(book, 100)).not.toBe(task);
    const run = newRun(task, 1, 'worker', 100);
    book.noteRun(run);
    book.noteRunGone(run, 200);
    expect(firstOf(book, 200)).toBe(task);
  });

  it('puts partly done submissions before new ones of the same size', () => {
    const book = new SubmissionBook();
    const [untouched, begun] = [idOf(1), idOf(2)];
    [untouched, begun].forEach((id) =>
      book.add(submissionOf(id, [{ ...STEP, taskCount: 4 }]), undefined, NO_ASSIGNMENTS, 0),
    );
    expect(firstOf(book, 0)?.submission.submission.id).toBe(untouched);
    [0, 1].forEach((index) => {
      const task = book.find(`${begun}.0.0.${index}`) as TaskRecord;
      const run = newRun(task, 1, 'worker', 0);
      book.noteRun(run);
      book.noteEnd(task, 1, RunEnd.Done, 100);
      book.noteRunGone(run, 100);
    });
    expect(firstOf(book, 100)?.submission.submission.id).toBe(begun);
  });

  it('puts many small submissions before a large one that arrived with them', () => {
    const book = new SubmissionBook();
    const large = [{ ...STEP, taskCount: 40 }];
    book.add(submissionOf(idOf(1), large), undefined, NO_ASSIGNMENTS, 0);
    for (let index = 2; index < 12; index += 1) {
      book.add(submissionOf(idOf(index), [STEP]), undefined, NO_ASSIGNMENTS, 0);
    }
    const order = sortedTasks(book, 0);
    expect(order.slice(0, 10).every(({ step }) => step.taskCount === 1)).toBe(true);
  });
});
