/** The rows in which the parts of submissions are stored, and the order in which they may be. */
import {
  assignmentsKey,
  parseTaskPageKey,
  progressKey,
  specKey,
  taskPageKey,
} from '../../../services/submissions/common/submissionRows.js';
import type { RowWrite } from '../../../services/table/common/table.js';
import {
  HEAD,
  headOf,
  isPagingPending,
  type SubmissionPart,
  toHead,
  toPagedSpec,
  toTaskPage,
} from './submissionParts.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import { isOpen, type SubmissionRecord, toAssignments, toProgress } from './taskRecords.js';

/** How many pages of a submission that has ended are removed in one transaction. */
const MAXIMUM_REMOVED_PAGES = 20;

/** A part of which something is yet to be stored. */
export interface DirtyPart {
  readonly part: SubmissionPart;
  /** Whether runs of the part may start once it is stored. */
  readonly isAssigned: boolean;
  readonly hasProgress: boolean;
}

/** The rows of a part that are written in one transaction. */
export interface PartWrites extends DirtyPart {
  readonly writes: readonly RowWrite[];
}

/** Whether the table has a row with the key. */
type IsStored = (key: string) => boolean;

/**
 * Returns the writes of the progress row and of what depends on it. The assignments and the pages
 * of a submission that has ended are deleted.
 */
const headWrites = (record: SubmissionRecord, isStored: IsStored): readonly RowWrite[] => {
  const { submission, tasksPerPage } = record;
  const { id } = submission;
  const isPaged = tasksPerPage !== undefined;
  const writes: RowWrite[] = [
    { key: progressKey(id), value: isPaged ? toHead(record) : toProgress(record) },
  ];
  const isPagingDue = isOpen(record) && isPagingPending(record);
  const hasAssignments = isStored(assignmentsKey(id));
  if (hasAssignments && (isPagingDue || !isOpen(record))) {
    writes.push({ key: assignmentsKey(id), value: null });
  }
  if (isPagingDue) writes.push({ key: specKey(id), value: toPagedSpec(record) });
  if (!isOpen(record)) {
    [...record.storedPages]
      .slice(0, MAXIMUM_REMOVED_PAGES)
      .forEach((index) => writes.push({ key: taskPageKey(id, index), value: null }));
  }
  return writes;
};

/** Returns the writes of the rows of a part. */
export const writesOf = (
  { part, isAssigned, hasProgress }: DirtyPart,
  isStored: IsStored,
): readonly RowWrite[] => {
  const { record, index } = part;
  const { id } = record.submission;
  if (index !== HEAD) {
    return isOpen(record) ? [{ key: taskPageKey(id, index), value: toTaskPage(part) }] : [];
  }
  const writes: RowWrite[] = [];
  if (isAssigned) writes.push({ key: assignmentsKey(id), value: toAssignments(record) });
  if (hasProgress) writes.push(...headWrites(record, isStored));
  return writes;
};

/**
 * Whether other parts of the submission have to be stored before this one: pages before the head
 * that makes them valid, and a final state before its pages need not be stored any more.
 */
export const awaitsOtherParts = (
  part: SubmissionPart,
  { dirtyProgress }: SubmissionRegistry,
): boolean => {
  const { record, index } = part;
  if (!isOpen(record)) return index !== HEAD && dirtyProgress.has(headOf(record));
  if (index !== HEAD || !isPagingPending(record)) return false;
  return [...dirtyProgress].some((other) => other.record === record);
};

/** Marks a part that was taken and is still to be stored. */
export const markDirty = (
  { part, isAssigned, hasProgress }: DirtyPart,
  registry: SubmissionRegistry,
): void => {
  if (hasProgress) registry.markProgressDirty(part);
  if (isAssigned) registry.markPartAssigned(part);
};

/** Records that the rows of a part are in the table. */
export const noteStored = ({ part, writes }: PartWrites, registry: SubmissionRegistry): void => {
  const { record, index } = part;
  writes.forEach(({ key, value }) => {
    const page = parseTaskPageKey(key);
    if (page === undefined) return;
    if (value === null) record.storedPages.delete(page.index);
    else record.storedPages.add(page.index);
  });
  if (index !== HEAD) return;
  if (writes.some(({ key }) => key === specKey(record.submission.id))) {
    record.isPagingStored = true;
  }
  // The rest of the pages of a submission that has ended is deleted by the next transactions.
  if (!isOpen(record) && record.storedPages.size > 0) registry.markProgressDirty(part);
};
