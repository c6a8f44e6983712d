/** Writes the state that must survive the scheduler, for many submissions in one transaction. */
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
import { EndAcknowledgements, type RecordedSequence } from './endAcknowledgements.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import type { Roster, ToTableMs } from './roster.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import {
  isOpen,
  RunState,
  type SubmissionRecord,
  type TaskRun,
  toAssignments,
  toProgress,
} from './taskRecords.js';

/**
 * The table accepts a hundred entries per call, conditions and writes together. This leaves entries
 * for the rows that don't belong to a single submission and for the owner row's condition.
 */
const MAXIMUM_ROWS_PER_TRANSACTION = 46;
/** Leaves space in a transaction for the progress of other submissions. */
const MAXIMUM_ASSIGNMENT_ROWS = 12;
/** Minimum interval between writes of learnt interference; a new owner may miss the last one. */
const INTERFERENCE_INTERVAL_MS = 3_000;
/** Minimum interval between writes of the counts of waiting submissions. */
const COUNTS_INTERVAL_MS = 500;

interface PendingCommit {
  readonly records: readonly SubmissionRecord[];
  readonly writes: readonly RowWrite[];
  /** Sequences up to which run ends are recorded once the transaction is committed. */
  readonly sequences: readonly RecordedSequence[];
  readonly hasRoster: boolean;
  /** Submissions whose assignments are written. */
  readonly assigned: readonly SubmissionRecord[];
  /** Runs that may start once their assignments are stored. */
  readonly runs: readonly TaskRun[];
}

/** The state that a commit is built from. */
export interface CommitInput {
  readonly registry: SubmissionRegistry;
  readonly views: Iterable<FleetWorkerView>;
  readonly owner: { readonly condition: RowCondition; readonly id: string; readonly epoch: number };
  readonly interference: InterferenceControl;
  readonly roster: Roster;
  readonly toTableMs: ToTableMs;
  readonly intervalMs: number;
}

/** What the owner has to do after the answer to a commit. */
export interface CommitOutcome {
  /** Rows to read because the transaction got no answer or was refused. */
  readonly request?: ReadRequest;
  /** Runs whose assignments are now stored. */
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
 * Builds the owner's transactions and handles their results. Each write is conditional on the last
 * known version of its row. A transaction whose answer was lost may be applied late; without the
 * condition it would restore an older state, for example show a submission as running after callers
 * were told that it is complete. After a lost answer, the rows are read before they are written
 * again. Whichever of the two transactions is applied first then makes the other one fail.
 */
export class ProgressCommits {
  readonly #versions = new Map<string, number>();

  #pending: PendingCommit | undefined;

  readonly #acknowledgements = new EndAcknowledgements();

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

  /** Returns the next transaction, or undefined while none is due. */
  next(input: CommitInput, nowMs: number): Transaction | undefined {
    if (this.#status !== CommitStatus.Idle || nowMs < this.#nextCommitAtMs) return undefined;
    const { registry, owner } = input;
    const views = [...input.views];
    const sharedWrites = this.#sharedWrites(input, views, nowMs);
    const isStored = (key: string): boolean => this.#versionOf(key) !== ABSENT_VERSION;
    const checkpointWrites = registry.checkpoints.takeDueWrites(isStored, nowMs);
    if (
      registry.dirtyProgress.size === 0 &&
      registry.dirtyAssignments.size === 0 &&
      sharedWrites.length === 0 &&
      checkpointWrites.length === 0
    ) {
      // Ends of runs of persistent tasks or of unknown submissions change nothing that is stored.
      views.forEach((view) => {
        view.recordedSequence = view.handledSequence;
      });
      return undefined;
    }
    this.#acknowledgements.begin(views, registry.dirtyProgress);
    const assigned = registry.takeDirtyAssignments(MAXIMUM_ASSIGNMENT_ROWS);
    // Assignments don't list runs that have ended, so they are stored together with the run ends.
    // A new owner that read the assignments without the ends would start those tasks again.
    const assignedProgress = registry.takeDirtyProgressOf(assigned);
    const remainingRowCount =
      MAXIMUM_ROWS_PER_TRANSACTION -
      checkpointWrites.length -
      assigned.length -
      assignedProgress.length;
    const records = [
      ...assignedProgress,
      ...registry.takeDirtyProgress(remainingRowCount, (record) => this.#progressRowCount(record)),
    ];
    const writes = [
      ...assigned.map((record) => ({
        key: assignmentsKey(record.submission.id),
        value: toAssignments(record),
      })),
      ...records.flatMap((record) => this.#progressWrites(record)),
      ...checkpointWrites,
      ...sharedWrites,
    ];
    this.#operationCount += 1;
    this.#status = CommitStatus.InFlight;
    this.#nextCommitAtMs = nowMs + input.intervalMs;
    this.#pending = {
      records,
      writes,
      sequences: this.#acknowledgements.takeRecorded(records, registry.dirtyProgress, views),
      hasRoster: sharedWrites.some(({ key }) => key === ROSTER_KEY),
      assigned,
      runs: runsToStart(assigned),
    };
    return {
      operationId: `${owner.id}:${owner.epoch}:${this.#operationCount}`,
      conditions: [
        owner.condition,
        ...writes.map(({ key }) => ({ key, version: this.#versionOf(key) })),
      ],
      writes,
    };
  }

  /** Handles the table's answer to the transaction. */
  handleCommitted(
    result: Either<Failure, TransactionResult>,
    registry: SubmissionRegistry,
    roster: Roster,
  ): CommitOutcome {
    const pending = this.#pending;
    if (pending === undefined) return { recorded: [] };
    if (isRight(result) && result.right.outcome === TransactionOutcome.Committed) {
      const { version } = result.right;
      pending.writes.forEach(({ key, value }) =>
        this.#versions.set(key, value === null ? ABSENT_VERSION : version),
      );
      EndAcknowledgements.record(pending.sequences);
      if (pending.hasRoster) roster.noteStored();
      registry.checkpoints.noteCommitted();
      this.#status = CommitStatus.Idle;
      this.#pending = undefined;
      return { recorded: pending.runs };
    }
    pending.records.forEach((record) => registry.markProgressDirty(record));
    pending.assigned.forEach((record) => registry.markAssignmentsDirty(record));
    this.#acknowledgements.reset();
    this.#writtenCounts = '';
    this.#writtenInterference = '';
    this.#status = CommitStatus.InDoubt;
    return { request: { keys: pending.writes.map(({ key }) => key), prefixes: [] }, recorded: [] };
  }

  /**
   * Handles the rows that were read after a transaction in doubt. Returns false if the read failed
   * and has to be repeated.
   */
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

  /** Returns the writes of rows that don't belong to a single submission. */
  #sharedWrites(
    { registry, owner, interference, roster, toTableMs }: CommitInput,
    views: readonly FleetWorkerView[],
    nowMs: number,
  ): readonly RowWrite[] {
    const rows = [
      { key: WAITING_COUNTS_KEY, value: this.#dueCounts(registry, owner.epoch, nowMs) },
      { key: INTERFERENCE_KEY, value: this.#dueInterference(interference, nowMs) },
      { key: ROSTER_KEY, value: roster.nextRow(views, toTableMs, nowMs) as JsonValue | undefined },
    ];
    return rows.flatMap(({ key, value }) => (value === undefined ? [] : [{ key, value }]));
  }

  /** Returns the write of the progress row; also deletes the assignments of an ended submission. */
  #progressWrites(record: SubmissionRecord): readonly RowWrite[] {
    const { id } = record.submission;
    const progress = { key: progressKey(id), value: toProgress(record) };
    return this.#deletesAssignments(record)
      ? [progress, { key: assignmentsKey(id), value: null }]
      : [progress];
  }

  #progressRowCount(record: SubmissionRecord): number {
    return this.#deletesAssignments(record) ? 2 : 1;
  }

  #deletesAssignments(record: SubmissionRecord): boolean {
    const version = this.#versionOf(assignmentsKey(record.submission.id));
    return !isOpen(record) && version !== ABSENT_VERSION;
  }

  /** The last known version of a row. */
  #versionOf(key: string): number {
    return this.#versions.get(key) ?? ABSENT_VERSION;
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

  #dueCounts(registry: SubmissionRegistry, epoch: number, nowMs: number): JsonValue | undefined {
    if (nowMs < this.#nextCountsAtMs) return undefined;
    const counts = { epoch, byQueue: registry.waitingCounts() };
    const text = JSON.stringify(counts);
    if (text === this.#writtenCounts) return undefined;
    this.#writtenCounts = text;
    this.#nextCountsAtMs = nowMs + COUNTS_INTERVAL_MS;
    return counts;
  }
}
