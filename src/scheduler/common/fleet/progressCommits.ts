/** Writes the state that must survive the scheduler, for many submissions in one transaction. */
import { isLeft, isRight, type Either } from 'fp-ts/lib/Either.js';

import type { JsonValue } from '../../../base/common/json.js';
import { ErrorKind, type Failure } from '../../../services/errors/common/errorKinds.js';
import {
  INTERFERENCE_KEY,
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
import {
  awaitsOtherParts,
  markDirty,
  noteStored,
  type PartWrites,
  writesOf,
} from './partWrites.js';
import type { Roster, ToTableMs } from './roster.js';
import {
  Fit,
  type RowSize,
  type StoreLimits,
  tasksInOnePage,
  TransactionBudget,
} from './storeLimits.js';
import { type SubmissionPart, tasksOfPart } from './submissionParts.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import { RunState, type TaskRun } from './taskRecords.js';

/** Leaves space in a transaction for the progress of other submissions. */
const MAXIMUM_ASSIGNMENT_ROWS = 12;
/** How long a part waits whose rows the table has refused on their own. */
const REFUSED_RETRY_MS = 5_000;
/** Minimum interval between writes of learnt interference; a new owner may miss the last one. */
const INTERFERENCE_INTERVAL_MS = 3_000;
/** Minimum interval between writes of the counts of waiting submissions. */
const COUNTS_INTERVAL_MS = 500;

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
    const isStored = (key: string): boolean => this.#isStored(key);
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
      pending.parts.forEach((taken) => noteStored(taken, registry));
      EndAcknowledgements.record(pending.sequences);
      if (pending.hasRoster) roster.noteStored();
      registry.checkpoints.noteCommitted();
      this.#maximumParts *= 2;
      this.#status = CommitStatus.Idle;
      this.#pending = undefined;
      return { recorded: pending.runs };
    }
    pending.parts.forEach((taken) => markDirty(taken, registry));
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
    const isStored = (key: string): boolean => this.#isStored(key);
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
      const writes = isFull || isSetAside ? undefined : writesOf(candidate, isStored);
      const fit = writes === undefined ? Fit.Full : budget.add(writes);
      if (writes !== undefined && fit === Fit.Fits && !awaitsOtherParts(part, registry)) {
        taken.push({ ...candidate, writes });
        return;
      }
      markDirty(candidate, registry);
      if (fit === Fit.TooLarge) this.#divide(part, input, nowMs);
      else isFull ||= writes !== undefined && fit === Fit.Full;
    });
    return taken;
  }

  /** Divides the state of a submission into pages once a row for all of it would be too large. */
  #divide(part: SubmissionPart, { registry, limits }: CommitInput, nowMs: number): void {
    const { record } = part;
    if (record.tasksPerPage === undefined) registry.startPaging(record, tasksInOnePage(limits));
    else this.#refusedUntilMs.set(part, nowMs + REFUSED_RETRY_MS);
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

  #isStored(key: string): boolean {
    return this.#versionOf(key) !== ABSENT_VERSION;
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
