/** Stores what must survive the scheduler: many submissions' progress in one transaction. */
import { isRight, type Either } from 'fp-ts/lib/Either.js';

import type { JsonValue } from '../../../base/common/json.js';
import type { Failure } from '../../../services/errors/common/errorKinds.js';
import {
  assignmentsKey,
  INTERFERENCE_KEY,
  progressKey,
  ROSTER_KEY,
  WAITING_COUNTS_KEY,
} from '../../../services/submissions/common/submissionRows.js';
import {
  ABSENT_VERSION,
  type ReadRequest,
  type ReadResult,
  rowsByKey,
  type RowCondition,
  type RowWrite,
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../../services/table/common/table.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import type { Roster, ToTableMs } from './roster.js';
import type { SubmissionBook } from './submissionBook.js';
import {
  isOpen,
  RunState,
  type SubmissionRecord,
  type TaskRun,
  toAssignments,
  toProgress,
} from './taskRecords.js';

/** Rows that one transaction may write; a call of the table takes a hundred entries in all. */
const MAXIMUM_ROWS = 40;
/** Submissions whose assignments one transaction stores; the rest of it is for others' progress. */
const MAXIMUM_ASSIGNED = 12;
/** One that has ended removes its assignments as well. */
const ROWS_PER_PROGRESS = 2;
/** Least interval between writes of learnt interference; a successor may miss that much. */
const INTERFERENCE_INTERVAL_MS = 3_000;
/** How often the counts of waiting submissions are written at most. */
const COUNTS_INTERVAL_MS = 500;

interface RecordedSequence {
  readonly view: FleetWorkerView;
  readonly incarnation: number;
  readonly sequence: number;
}

const toSequence = (view: FleetWorkerView): RecordedSequence => ({
  view,
  incarnation: view.incarnation,
  sequence: view.handledSequence,
});

interface PendingCommit {
  readonly records: readonly SubmissionRecord[];
  readonly writes: readonly RowWrite[];
  /** Ends that are recorded once the transaction is committed, by worker and incarnation. */
  readonly sequences: readonly RecordedSequence[];
  readonly hasRoster: boolean;
  /** Submissions whose assignments are written, and the runs that may start once they are. */
  readonly assigned: readonly SubmissionRecord[];
  readonly runs: readonly TaskRun[];
}

/** What a commit is made of. */
export interface CommitInput {
  readonly book: SubmissionBook;
  readonly views: Iterable<FleetWorkerView>;
  readonly owner: { readonly condition: RowCondition; readonly id: string; readonly epoch: number };
  readonly interference: InterferenceControl;
  readonly roster: Roster;
  readonly toTableMs: ToTableMs;
  readonly intervalMs: number;
}

/** What follows from the answer to a commit. */
export interface CommitOutcome {
  /** Rows to be read, since the transaction's fate is unknown or it was refused. */
  readonly request?: ReadRequest;
  /** Runs whose assignments are stored now. */
  readonly recorded: readonly TaskRun[];
}

const runsToStart = (records: readonly SubmissionRecord[]): readonly TaskRun[] =>
  records.flatMap(({ occurrences }) =>
    [...occurrences.values()].flatMap(({ tasks }) =>
      tasks.flat().flatMap(({ runs }) => runs.filter(({ state }) => state === RunState.Assigned)),
    ),
  );

export const CommitStatus = { Idle: 'idle', InFlight: 'in-flight', InDoubt: 'in-doubt' } as const;
export type CommitStatus = (typeof CommitStatus)[keyof typeof CommitStatus];

/**
 * Each row is written under the version last known of it. A transaction without an answer may
 * land later and would otherwise bring an older state of a submission back: one that callers have
 * been told is complete would be shown as running. Its rows are read before they are written
 * again; whichever of the two transactions lands first then stops the other.
 */
export class ProgressCommits {
  readonly #versions = new Map<string, number>();

  #pending: PendingCommit | undefined;

  #status: CommitStatus = CommitStatus.Idle;

  #nextCommitAtMs = 0;

  #nextCountsAtMs = 0;

  #writtenCounts = '';

  #writtenInterference = '[]';

  #nextInterferenceAtMs = 0;

  #operationCount = 0;

  noteVersion(key: string, version: number): void {
    this.#versions.set(key, version);
  }

  /** The next transaction, when one is due. */
  next(input: CommitInput, nowMs: number): Transaction | undefined {
    if (this.#status !== CommitStatus.Idle || nowMs < this.#nextCommitAtMs) return undefined;
    const { book, owner } = input;
    const views = [...input.views];
    const shared = this.#sharedWrites(input, views, nowMs);
    if (book.dirty.size === 0 && book.unrecorded.size === 0 && shared.length === 0) {
      // Ends that changed nothing, of persistent or forgotten tasks, need no transaction.
      views.forEach((view) => {
        view.recordedSequence = view.handledSequence;
      });
      return undefined;
    }
    const assigned = book.takeUnrecorded(MAXIMUM_ASSIGNED);
    // Runs that have ended are in no assignments any more: a successor must learn of both together,
    // or it would start tasks anew whose ends are not stored.
    const changed = book.takeDirtyOf(assigned);
    const leftRows = MAXIMUM_ROWS - assigned.length - changed.length;
    const records = [...changed, ...book.takeDirty(Math.floor(leftRows / ROWS_PER_PROGRESS))];
    const writes = [
      ...assigned.map((record) => ({
        key: assignmentsKey(record.submission.id),
        value: toAssignments(record),
      })),
      ...records.flatMap((record) => this.#progressWrites(record)),
      ...shared,
    ];
    this.#operationCount += 1;
    this.#status = CommitStatus.InFlight;
    this.#nextCommitAtMs = nowMs + input.intervalMs;
    const isWhole = book.dirty.size === 0;
    this.#pending = {
      records,
      writes,
      sequences: isWhole ? views.map(toSequence) : [],
      hasRoster: shared.some(({ key }) => key === ROSTER_KEY),
      assigned,
      runs: runsToStart(assigned),
    };
    return {
      operationId: `${owner.id}:${owner.epoch}:${this.#operationCount}`,
      conditions: [
        owner.condition,
        ...writes.map(({ key }) => ({ key, version: this.#versions.get(key) ?? ABSENT_VERSION })),
      ],
      writes,
    };
  }

  /** Takes in the answer. */
  handleCommitted(
    result: Either<Failure, TransactionResult>,
    book: SubmissionBook,
    roster: Roster,
  ): CommitOutcome {
    const pending = this.#pending;
    if (pending === undefined) return { recorded: [] };
    if (isRight(result) && result.right.outcome === TransactionOutcome.Committed) {
      const { version } = result.right;
      pending.writes.forEach(({ key, value }) =>
        this.#versions.set(key, value === null ? ABSENT_VERSION : version),
      );
      pending.sequences.forEach(({ view, incarnation, sequence }) => {
        if (view.incarnation === incarnation) view.recordedSequence = sequence;
      });
      if (pending.hasRoster) roster.noteStored();
      this.#status = CommitStatus.Idle;
      this.#pending = undefined;
      return { recorded: pending.runs };
    }
    pending.records.forEach((record) => book.markDirty(record));
    pending.assigned.forEach((record) => book.markUnrecorded(record));
    this.#writtenCounts = '';
    this.#writtenInterference = '';
    this.#status = CommitStatus.InDoubt;
    return { request: { keys: pending.writes.map(({ key }) => key), prefixes: [] }, recorded: [] };
  }

  /** Takes in the rows of a transaction in doubt; returns false when they must be read again. */
  handleResolved(result: Either<Failure, ReadResult>): boolean {
    const pending = this.#pending;
    if (pending === undefined || !isRight(result)) return false;
    const rows = rowsByKey(result.right.rows);
    pending.writes.forEach(({ key }) =>
      this.#versions.set(key, rows.get(key)?.version ?? ABSENT_VERSION),
    );
    this.#status = CommitStatus.Idle;
    this.#pending = undefined;
    return true;
  }

  /** What concerns no single submission. */
  #sharedWrites(
    { book, owner, interference, roster, toTableMs }: CommitInput,
    views: readonly FleetWorkerView[],
    nowMs: number,
  ): readonly RowWrite[] {
    const rows = [
      { key: WAITING_COUNTS_KEY, value: this.#dueCounts(book, owner.epoch, nowMs) },
      { key: INTERFERENCE_KEY, value: this.#dueInterference(interference, nowMs) },
      { key: ROSTER_KEY, value: roster.nextRow(views, toTableMs, nowMs) as JsonValue | undefined },
    ];
    return rows.flatMap(({ key, value }) => (value === undefined ? [] : [{ key, value }]));
  }

  /** A submission that has ended needs its assignments no more. */
  #progressWrites(record: SubmissionRecord): readonly RowWrite[] {
    const { id } = record.submission;
    const progress = { key: progressKey(id), value: toProgress(record) };
    const key = assignmentsKey(id);
    const hasAssignments = (this.#versions.get(key) ?? ABSENT_VERSION) !== ABSENT_VERSION;
    return isOpen(record) || !hasAssignments ? [progress] : [progress, { key, value: null }];
  }

  #dueInterference(interference: InterferenceControl, nowMs: number): JsonValue | undefined {
    if (nowMs < this.#nextInterferenceAtMs) return undefined;
    this.#nextInterferenceAtMs = nowMs + INTERFERENCE_INTERVAL_MS;
    const learnt = interference.learnt();
    const text = JSON.stringify(learnt);
    if (text === this.#writtenInterference) return undefined;
    this.#writtenInterference = text;
    return learnt;
  }

  #dueCounts(book: SubmissionBook, epoch: number, nowMs: number): JsonValue | undefined {
    if (nowMs < this.#nextCountsAtMs) return undefined;
    const counts = { epoch, byQueue: book.waitingCounts() };
    const text = JSON.stringify(counts);
    if (text === this.#writtenCounts) return undefined;
    this.#writtenCounts = text;
    this.#nextCountsAtMs = nowMs + COUNTS_INTERVAL_MS;
    return counts;
  }
}
