/** Writes the state that must survive the scheduler, for many submissions in one transaction. */
import { isLeft, isRight, type Either } from 'fp-ts/lib/Either.js';

import type { JsonValue } from '../../../base/common/json.js';
import { ErrorKind, type Failure } from '../../../services/errors/common/errorKinds.js';
import {
  assignmentsKey,
  INTERFERENCE_KEY,
  parseTaskPageKey,
  progressKey,
  ROSTER_KEY,
  specKey,
  taskPageKey,
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
import {
  Fit,
  type RowSize,
  type StoreLimits,
  tasksInOnePage,
  TransactionBudget,
} from './storeLimits.js';
import {
  HEAD,
  headOf,
  isPagingPending,
  type SubmissionPart,
  tasksOfPart,
  toHead,
  toPagedSpec,
  toTaskPage,
} from './submissionParts.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import {
  isOpen,
  RunState,
  type SubmissionRecord,
  type TaskRun,
  toAssignments,
  toProgress,
} from './taskRecords.js';

/** Leaves space in a transaction for the progress of other submissions. */
const MAXIMUM_ASSIGNMENT_ROWS = 12;
/** How many pages of a submission that has ended are removed in one transaction. */
const MAXIMUM_REMOVED_PAGES = 20;
/** How long a part waits whose rows the table has refused on their own. */
const REFUSED_RETRY_MS = 5_000;
/** Minimum interval between writes of learnt interference; a new owner may miss the last one. */
const INTERFERENCE_INTERVAL_MS = 3_000;
/** Minimum interval between writes of the counts of waiting submissions. */
const COUNTS_INTERVAL_MS = 500;

/** A part of which something is yet to be stored. */
interface DirtyPart {
  readonly part: SubmissionPart;
  /** Whether runs of the part may start once it is stored. */
  readonly isAssigned: boolean;
  readonly hasProgress: boolean;
}

/** The rows of a part that are written in one transaction. */
interface PartWrites extends DirtyPart {
  readonly writes: readonly RowWrite[];
}

interface PendingCommit {
  readonly parts: readonly PartWrites[];
  readonly writes: readonly RowWrite[];
  /** Sequences up to which run ends are recorded once the transaction is committed. */
  readonly sequences: readonly RecordedSequence[];
  readonly hasRoster: boolean;
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
  readonly limits: StoreLimits;
}

/** What the owner has to do after the answer to a commit. */
export interface CommitOutcome {
  /** Rows to read because the transaction got no answer or was refused. */
  readonly request?: ReadRequest;
  /** Runs whose assignments are now stored. */
  readonly recorded: readonly TaskRun[];
}

const runsToStart = (parts: readonly PartWrites[]): readonly TaskRun[] =>
  parts
    .filter(({ isAssigned }) => isAssigned)
    .flatMap(({ part }) => tasksOfPart(part))
    .flatMap(({ runs }) => runs.filter(({ state }) => state === RunState.Assigned));

const isRefusedForGood = (result: Either<Failure, unknown>): boolean =>
  isLeft(result) && result.left.kind === ErrorKind.BodyTooLarge;

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

  /** How many parts the next transaction may contain. */
  #maximumParts = Number.MAX_SAFE_INTEGER;

  /** Parts that the table has refused on their own, and until when they are set aside. */
  readonly #refusedUntilMs = new Map<SubmissionPart, number>();

  readonly #tooLarge: RowSize[] = [];

  noteVersion(key: string, version: number): void {
    this.#versions.set(key, version);
  }

  /** Returns the next transaction, or undefined while none is due. */
  next(input: CommitInput, nowMs: number): Transaction | undefined {
    if (this.#status !== CommitStatus.Idle || nowMs < this.#nextCommitAtMs) return undefined;
    const { registry, owner } = input;
    const views = [...input.views];
    const budget = new TransactionBudget(input.limits);
    const addShared = (writes: readonly RowWrite[]): readonly RowWrite[] =>
      writes.filter((write) => budget.add([write]) === Fit.Fits);
    const sharedWrites = addShared(this.#sharedWrites(input, views, nowMs));
    const isStored = (key: string): boolean => this.#versionOf(key) !== ABSENT_VERSION;
    const checkpointWrites = addShared(registry.checkpoints.takeDueWrites(isStored, nowMs));
    this.#acknowledgements.begin(views, registry.dirtyProgress);
    const parts = this.#takeParts(input, budget, nowMs);
    this.#tooLarge.push(...budget.tooLarge);
    const writes = [
      ...parts.flatMap((taken) => taken.writes),
      ...checkpointWrites,
      ...sharedWrites,
    ];
    if (writes.length === 0) {
      this.#acknowledgements.reset();
      if (registry.dirtyProgress.size > 0) return undefined;
      // Ends of runs of persistent tasks or of unknown submissions change nothing that is stored.
      views.forEach((view) => {
        view.recordedSequence = view.handledSequence;
      });
      return undefined;
    }
    this.#operationCount += 1;
    this.#status = CommitStatus.InFlight;
    this.#nextCommitAtMs = nowMs + input.intervalMs;
    const storedParts = parts.map(({ part }) => part);
    this.#pending = {
      parts,
      writes,
      sequences: this.#acknowledgements.takeRecorded(storedParts, registry.dirtyProgress, views),
      hasRoster: sharedWrites.some(({ key }) => key === ROSTER_KEY),
      runs: runsToStart(parts),
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

  /** Returns and clears the rows that were left out because the table stores none of their size. */
  takeTooLarge(): readonly RowSize[] {
    return this.#tooLarge.splice(0);
  }

  /** Handles the table's answer to the transaction. */
  handleCommitted(
    result: Either<Failure, TransactionResult>,
    registry: SubmissionRegistry,
    roster: Roster,
    nowMs: number,
  ): CommitOutcome {
    const pending = this.#pending;
    if (pending === undefined) return { recorded: [] };
    if (isRight(result) && result.right.outcome === TransactionOutcome.Committed) {
      const { version } = result.right;
      pending.writes.forEach(({ key, value }) =>
        this.#versions.set(key, value === null ? ABSENT_VERSION : version),
      );
      pending.parts.forEach((taken) => ProgressCommits.#noteStored(taken, registry));
      EndAcknowledgements.record(pending.sequences);
      if (pending.hasRoster) roster.noteStored();
      registry.checkpoints.noteCommitted();
      this.#maximumParts *= 2;
      this.#status = CommitStatus.Idle;
      this.#pending = undefined;
      return { recorded: pending.runs };
    }
    pending.parts.forEach((taken) => ProgressCommits.#markDirty(taken, registry));
    if (isRefusedForGood(result)) this.#isolate(pending, nowMs);
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

  /** Takes the parts whose rows fit into the transaction, and leaves the others for later ones. */
  #takeParts(input: CommitInput, budget: TransactionBudget, nowMs: number): readonly PartWrites[] {
    const { registry } = input;
    const assigned = registry.takeDirtyAssignments(MAXIMUM_ASSIGNMENT_ROWS);
    // Assignments don't list runs that have ended, so they are stored together with the run ends.
    // A new owner that read the assignments without the ends would start those tasks again.
    const assignedProgress = new Set(registry.takeDirtyProgressOf(assigned));
    const candidates = [
      ...assigned.map((part) => {
        const hasProgress = assignedProgress.has(part);
        return { part, isAssigned: true, hasProgress };
      }),
      ...registry
        .takeDirtyProgress()
        .map((part) => ({ part, isAssigned: false, hasProgress: true })),
    ];
    const taken: PartWrites[] = [];
    let isFull = false;
    candidates.forEach((candidate) => {
      const { part } = candidate;
      isFull ||= taken.length >= this.#maximumParts;
      const isSetAside = nowMs < (this.#refusedUntilMs.get(part) ?? nowMs);
      const writes = isFull || isSetAside ? undefined : this.#writesOf(candidate);
      const fit = writes === undefined ? Fit.Full : budget.add(writes);
      if (
        writes !== undefined &&
        fit === Fit.Fits &&
        !ProgressCommits.#isIncomplete(part, registry)
      ) {
        taken.push({ ...candidate, writes });
        return;
      }
      ProgressCommits.#markDirty(candidate, registry);
      if (fit === Fit.TooLarge) this.#divide(part, input, nowMs);
      else isFull ||= writes !== undefined && fit === Fit.Full;
    });
    return taken;
  }

  /**
   * Whether other parts of the submission have to be stored before this one: pages before the head
   * that makes them valid, and a final state before its pages need not be stored any more.
   */
  static #isIncomplete(part: SubmissionPart, { dirtyProgress }: SubmissionRegistry): boolean {
    const { record, index } = part;
    if (!isOpen(record)) return index !== HEAD && dirtyProgress.has(headOf(record));
    if (index !== HEAD || !isPagingPending(record)) return false;
    return [...dirtyProgress].some((other) => other.record === record);
  }

  /** Divides the state of a submission into pages once a row for all of it would be too large. */
  #divide(part: SubmissionPart, { registry, limits }: CommitInput, nowMs: number): void {
    const { record } = part;
    if (record.tasksPerPage === undefined) registry.startPaging(record, tasksInOnePage(limits));
    else this.#refusedUntilMs.set(part, nowMs + REFUSED_RETRY_MS);
  }

  #writesOf({ part, isAssigned, hasProgress }: DirtyPart): readonly RowWrite[] {
    const { record, index } = part;
    const { id } = record.submission;
    if (index !== HEAD) {
      return isOpen(record) ? [{ key: taskPageKey(id, index), value: toTaskPage(part) }] : [];
    }
    const writes: RowWrite[] = [];
    if (isAssigned) writes.push({ key: assignmentsKey(id), value: toAssignments(record) });
    if (hasProgress) writes.push(...this.#headWrites(record));
    return writes;
  }

  /**
   * Returns the writes of the progress row and of what depends on it. The assignments and the pages
   * of a submission that has ended are deleted.
   */
  #headWrites(record: SubmissionRecord): readonly RowWrite[] {
    const { submission, tasksPerPage } = record;
    const { id } = submission;
    const isPaged = tasksPerPage !== undefined;
    const writes: RowWrite[] = [
      { key: progressKey(id), value: isPaged ? toHead(record) : toProgress(record) },
    ];
    const isPagingDue = isOpen(record) && isPagingPending(record);
    const hasAssignments = this.#versionOf(assignmentsKey(id)) !== ABSENT_VERSION;
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
  }

  static #markDirty(
    { part, isAssigned, hasProgress }: DirtyPart,
    registry: SubmissionRegistry,
  ): void {
    if (hasProgress) registry.markProgressDirty(part);
    if (isAssigned) registry.markPartAssigned(part);
  }

  static #noteStored({ part, writes }: PartWrites, registry: SubmissionRegistry): void {
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
  }

  /**
   * Makes the next transactions smaller, until the one part is found that the table refuses. It is
   * set aside for a while, so that all others are stored.
   */
  #isolate({ parts }: PendingCommit, nowMs: number): void {
    const [first] = parts;
    if (parts.length === 1 && first !== undefined) {
      this.#refusedUntilMs.set(first.part, nowMs + REFUSED_RETRY_MS);
      this.#maximumParts = MAXIMUM_ASSIGNMENT_ROWS;
    } else this.#maximumParts = Math.max(1, Math.floor(parts.length / 2));
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
