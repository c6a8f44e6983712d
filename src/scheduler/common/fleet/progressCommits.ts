/** Stores what must survive the scheduler: many submissions' progress in one transaction. */
import { isRight, type Either } from 'fp-ts/lib/Either.js';

import type { JsonValue } from '../../../base/common/json.js';
import type { Failure } from '../../../services/errors/common/errorKinds.js';
import {
  HARM_KEY,
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
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../../services/table/common/table.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { HarmControl } from './harmControl.js';
import type { SubmissionBook } from './submissionBook.js';
import { type SubmissionRecord, toProgress } from './taskRecords.js';

/** Rows that one transaction may write; a call of the table takes a hundred entries in all. */
const MAXIMUM_ROWS = 40;
/** How often what is learnt of harm is written at most; a successor may lose as much of it. */
const HARM_INTERVAL_MS = 3_000;
/** How often the counts of waiting submissions are written at most. */
const COUNTS_INTERVAL_MS = 500;

/** A worker that leases were granted to, as the successor needs it to reach it. */
export interface RosterEntry {
  readonly id: string;
  readonly address: string;
}

interface PendingCommit {
  readonly records: readonly SubmissionRecord[];
  readonly keys: readonly string[];
  /** Ends that are recorded once the transaction is committed, by worker and incarnation. */
  readonly sequences: readonly {
    readonly view: FleetWorkerView;
    readonly incarnation: number;
    readonly sequence: number;
  }[];
  readonly roster: string;
}

const toRoster = (views: readonly FleetWorkerView[]): readonly RosterEntry[] =>
  views
    .map(({ id, entry }) => ({ id, address: entry.address }))
    .sort((left, right) => (left.id < right.id ? -1 : 1));

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

  #writtenHarm = '[]';

  #nextHarmAtMs = 0;

  #writtenRoster = '';

  #operationCount = 0;

  noteVersion(key: string, version: number): void {
    this.#versions.set(key, version);
  }

  /** Workers whose grants the successor must know of before this owner makes any. */
  isOnRoster(workerId: string): boolean {
    return this.#writtenRoster.includes(`"${workerId}"`);
  }

  /** The next transaction, when one is due. */
  next(
    book: SubmissionBook,
    views: Iterable<FleetWorkerView>,
    owner: { readonly condition: RowCondition; readonly id: string; readonly epoch: number },
    harm: HarmControl,
    intervalMs: number,
    nowMs: number,
  ): Transaction | undefined {
    if (this.#status !== CommitStatus.Idle || nowMs < this.#nextCommitAtMs) return undefined;
    const all = [...views];
    const roster = JSON.stringify(toRoster(all));
    const counts = this.#dueCounts(book, owner.epoch, nowMs);
    const learnt = this.#dueHarm(harm, nowMs);
    const isRosterNew = roster !== this.#writtenRoster;
    const isIdle = counts === undefined && learnt === undefined && !isRosterNew;
    if (book.dirty.size === 0 && isIdle) {
      // Ends that changed nothing, of persistent or forgotten tasks, need no transaction.
      all.forEach((view) => {
        view.recordedSequence = view.takenSequence;
      });
      return undefined;
    }
    const isWhole = book.dirty.size <= MAXIMUM_ROWS;
    const records = book.takeDirty(MAXIMUM_ROWS);
    const writes: { readonly key: string; readonly value: JsonValue }[] = records.map((record) => ({
      key: progressKey(record.submission.id),
      value: toProgress(record),
    }));
    if (counts !== undefined) writes.push({ key: WAITING_COUNTS_KEY, value: counts });
    if (learnt !== undefined) writes.push({ key: HARM_KEY, value: learnt });
    if (isRosterNew) writes.push({ key: ROSTER_KEY, value: JSON.parse(roster) as JsonValue });
    this.#operationCount += 1;
    this.#status = CommitStatus.InFlight;
    this.#nextCommitAtMs = nowMs + intervalMs;
    this.#pending = {
      records,
      keys: writes.map(({ key }) => key),
      sequences: isWhole
        ? all.map((view) => ({
            view,
            incarnation: view.incarnation,
            sequence: view.takenSequence,
          }))
        : [],
      roster: isRosterNew ? roster : this.#writtenRoster,
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

  /** Takes in the answer. Returns the rows to be read when the fate is unknown or was refused. */
  handleCommitted(
    result: Either<Failure, TransactionResult>,
    book: SubmissionBook,
  ): ReadRequest | undefined {
    const pending = this.#pending;
    if (pending === undefined) return undefined;
    if (isRight(result) && result.right.outcome === TransactionOutcome.Committed) {
      const { version } = result.right;
      pending.keys.forEach((key) => this.#versions.set(key, version));
      pending.sequences.forEach(({ view, incarnation, sequence }) => {
        if (view.incarnation === incarnation) view.recordedSequence = sequence;
      });
      this.#writtenRoster = pending.roster;
      this.#status = CommitStatus.Idle;
      this.#pending = undefined;
      return undefined;
    }
    pending.records.forEach((record) => book.markDirty(record));
    this.#writtenCounts = '';
    this.#writtenHarm = '';
    this.#status = CommitStatus.InDoubt;
    return { keys: pending.keys, prefixes: [] };
  }

  /** Takes in the rows of a transaction in doubt; returns false when they must be read again. */
  handleResolved(result: Either<Failure, ReadResult>): boolean {
    const pending = this.#pending;
    if (pending === undefined || !isRight(result)) return false;
    const rows = rowsByKey(result.right.rows);
    pending.keys.forEach((key) =>
      this.#versions.set(key, rows.get(key)?.version ?? ABSENT_VERSION),
    );
    this.#status = CommitStatus.Idle;
    this.#pending = undefined;
    return true;
  }

  #dueHarm(harm: HarmControl, nowMs: number): JsonValue | undefined {
    if (nowMs < this.#nextHarmAtMs) return undefined;
    this.#nextHarmAtMs = nowMs + HARM_INTERVAL_MS;
    const learnt = harm.learnt();
    const text = JSON.stringify(learnt);
    if (text === this.#writtenHarm) return undefined;
    this.#writtenHarm = text;
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
