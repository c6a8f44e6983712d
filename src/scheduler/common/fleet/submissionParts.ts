/**
 * The parts in which the state of a submission is stored, each in rows of its own. One part describes
 * all tasks of a small submission. A row that describes all tasks of a large one would outgrow what
 * the table stores, so these have a page for each range of positions, and a head with their state.
 * A page has both the progress and the assignments of its tasks, so a reader sees one moment of each
 * task whatever the transactions were in which the pages were stored.
 */
import type { JsonValue } from '../../../base/common/json.js';
import { isFinalState } from '../../../services/submissions/common/submission.js';
import type {
  Assignments,
  Progress,
  TaskPage,
} from '../../../services/submissions/common/submissionRows.js';
import {
  type SubmissionRecord,
  type TaskRecord,
  tasksOfOccurrence,
  toAssignmentsOf,
  toProgressOf,
} from './taskRecords.js';

/** The index of the part with the submission's own state. */
export const HEAD = -1;

export interface SubmissionPart {
  readonly record: SubmissionRecord;
  /** `HEAD`, or the index of the page. */
  readonly index: number;
}

export const partAt = (record: SubmissionRecord, index: number): SubmissionPart => {
  const known = record.parts.get(index);
  if (known !== undefined) return known;
  const part = { record, index };
  record.parts.set(index, part);
  return part;
};

export const headOf = (record: SubmissionRecord): SubmissionPart => partAt(record, HEAD);

/** The part that describes the task. */
export const partOf = ({ submission, position }: TaskRecord): SubmissionPart => {
  const { tasksPerPage } = submission;
  return partAt(
    submission,
    tasksPerPage === undefined ? HEAD : Math.floor(position / tasksPerPage),
  );
};

/** Whether readers do not use the pages of the submission yet. */
export const isPagingPending = ({ tasksPerPage, isPagingStored }: SubmissionRecord): boolean =>
  tasksPerPage !== undefined && !isPagingStored;

const taskAt = (record: SubmissionRecord, position: number): TaskRecord | undefined => {
  const taskCount = Math.max(1, tasksOfOccurrence(record.submission));
  const opened = record.occurrences.get(Math.floor(position / taskCount));
  let index = position % taskCount;
  const step = opened?.tasks.find((tasks) => {
    if (index < tasks.length) return true;
    index -= tasks.length;
    return false;
  });
  return step?.[index];
};

/** The tasks that the part describes, as far as their occurrences have been opened. */
export const tasksOfPart = ({ record, index }: SubmissionPart): readonly TaskRecord[] => {
  const { tasksPerPage } = record;
  if (tasksPerPage === undefined) {
    return [...record.occurrences.values()].flatMap(({ tasks }) => tasks.flat());
  }
  if (index === HEAD) return [];
  const first = index * tasksPerPage;
  return Array.from({ length: tasksPerPage }, (_, offset) => taskAt(record, first + offset)).filter(
    (task) => task !== undefined,
  );
};

/** All parts of a submission that is stored in pages: its head, and the pages of opened tasks. */
export const allParts = (record: SubmissionRecord): ReadonlySet<SubmissionPart> => {
  const parts = new Set([headOf(record)]);
  record.storedPages.forEach((index) => parts.add(partAt(record, index)));
  record.occurrences.forEach(({ tasks }) =>
    tasks.flat().forEach((task) => {
      const hasState = task.isDone || task.failedRuns.length > 0 || task.lastRun > 0;
      if (hasState) parts.add(partOf(task));
    }),
  );
  return parts;
};

/** The stored form of a submission whose state is stored in pages. */
export const toPagedSpec = ({ submission, tasksPerPage }: SubmissionRecord): JsonValue =>
  ({ ...submission, tasksPerPage }) as unknown as JsonValue;

/** The stored form of the state of a submission that is stored in pages. */
export const toHead = ({ state }: SubmissionRecord): Progress => ({
  state,
  done: [],
  failedRuns: {},
});

export const toTaskPage = (part: SubmissionPart): TaskPage => {
  const tasks = tasksOfPart(part);
  const { done, failedRuns } = toProgressOf(tasks);
  return { done, failedRuns, assignments: toAssignmentsOf(tasks) };
};

/** Joins the pages of a submission, as if one row described all of its tasks. */
export const joinPages = (
  head: Progress | undefined,
  pages: readonly TaskPage[],
): { readonly progress: Progress | undefined; readonly assignments: Assignments } => {
  const assignments = new Map<string, number[]>();
  pages.forEach((page) =>
    Object.entries(page.assignments).forEach(([workerId, pairs]) =>
      assignments.set(workerId, [...(assignments.get(workerId) ?? []), ...pairs]),
    ),
  );
  const isFinal = head !== undefined && isFinalState(head.state);
  const progress = head && {
    state: head.state,
    done: isFinal ? [] : pages.flatMap(({ done }) => done),
    failedRuns: isFinal ? {} : Object.assign({}, ...pages.map(({ failedRuns }) => failedRuns)),
  };
  return { progress, assignments: Object.fromEntries(assignments) };
};
