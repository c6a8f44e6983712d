/** The owner's submissions in memory, with their waiting tasks and the changes yet to be stored. */
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import {
  stepRunCount,
  type Submission,
  SubmissionState,
} from '../../../services/submissions/common/submission.js';
import type { Assignments, Progress } from '../../../services/submissions/common/submissionRows.js';
import { CheckpointPages } from './checkpointPages.js';
import { SizeBalance } from './sizeBalance.js';
import {
  DEFAULT_STORE_LIMITS,
  type StoreLimits,
  tasksInOnePage,
  tasksInOneRow,
} from './storeLimits.js';
import {
  allOccurrencesDone,
  countInSizeBalance,
  type InheritedRun,
  isOpen,
  isStepReady,
  newSubmissionRecord,
  NO_PROGRESS,
  NO_WORKER_ID,
  openOccurrence,
  type OccurrenceRecord,
  parseTaskName,
  type QueueWork,
  startedOccurrenceCount,
  tasksOfOccurrence,
  type SubmissionRecord,
  type TaskRecord,
  type TaskRun,
} from './taskRecords.js';
import {
  allParts,
  HEAD,
  headOf,
  isPagingPending,
  partOf,
  type SubmissionPart,
} from './submissionParts.js';
import { WaitingTasks } from './waitingTasks.js';
import type { DelayCause } from './waitReason.js';

/** Delay before a failed task is retried, so that a faulty worker does not use up its attempts. */
const FAILED_RETRY_DELAY_MS = 200;

/** A task that a former owner assigned to a worker. */
export interface InheritedTask {
  readonly task: TaskRecord;
  readonly inherited: InheritedRun;
}

export interface PagingInput {
  /** Indexes of the pages of the submission that are in the table. */
  readonly storedPages: readonly number[];
  readonly limits: StoreLimits;
}

const NOT_PAGED: PagingInput = { storedPages: [], limits: DEFAULT_STORE_LIMITS };

const newQueueWork = (): QueueWork => ({
  ...{ count: 0, processorMs: 0 },
  balance: new SizeBalance(),
});

const recordEndInSizeBalance = (record: SubmissionRecord): void => {
  const { queueWork, sizeClass, isReserved } = record;
  if (record.state === SubmissionState.Complete) {
    countInSizeBalance(record);
    queueWork.balance.recordComplete(sizeClass, isReserved);
  } else if (isReserved) queueWork.balance.release(sizeClass);
};

export class SubmissionRegistry {
  readonly #records = new Map<string, SubmissionRecord>();

  readonly #cancelledIds = new Set<string>();

  readonly #waiting = new WaitingTasks();

  readonly #checkpoints = new CheckpointPages();

  /** Parts of submissions whose progress is yet to be stored. */
  readonly #dirtyProgress = new Set<SubmissionPart>();

  /** Parts of submissions with runs that are not yet in their stored assignments. */
  readonly #dirtyAssignments = new Set<SubmissionPart>();

  /** Tasks that former owners assigned to workers and that `takeInherited` has yet to return. */
  #inherited: InheritedTask[] = [];

  /** Submissions with occurrences that are not open yet. */
  readonly #recurring = new Set<SubmissionRecord>();

  readonly #queueWorks = new Map<string, QueueWork>();

  /** Submissions that have ended and that `takeEnded` has yet to return. */
  #ended: SubmissionRecord[] = [];

  #order = 0;

  get waiting(): WaitingTasks {
    return this.#waiting;
  }

  /** The checkpoints of the tasks that may start again. */
  get checkpoints(): CheckpointPages {
    return this.#checkpoints;
  }

  get dirtyProgress(): ReadonlySet<SubmissionPart> {
    return this.#dirtyProgress;
  }

  get dirtyAssignments(): ReadonlySet<SubmissionPart> {
    return this.#dirtyAssignments;
  }

  has(id: string): boolean {
    return this.#records.has(id);
  }

  /**
   * Adds a stored submission; does nothing if it is already known. Returns whether its state is to
   * be divided into pages.
   */
  add(
    submission: Submission,
    progress: Progress | undefined,
    assignments: Assignments,
    nowMs: number,
    { storedPages, limits }: PagingInput = NOT_PAGED,
  ): boolean {
    if (this.#records.has(submission.id)) return false;
    this.#order += 1;
    const stored = progress ?? NO_PROGRESS;
    const queueWork = this.#queueWorks.get(submission.queueName) ?? newQueueWork();
    this.#queueWorks.set(submission.queueName, queueWork);
    const record = newSubmissionRecord(
      ...([submission, stored, this.#order, assignments, queueWork] as const),
      nowMs,
    );
    queueWork.count += 1;
    queueWork.processorMs += record.processorMs;
    this.#records.set(submission.id, record);
    storedPages.forEach((index) => record.storedPages.add(index));
    if (!isOpen(record)) {
      recordEndInSizeBalance(record);
      // Its pages are still to be removed.
      if (record.storedPages.size > 0) this.#dirtyProgress.add(headOf(record));
      return false;
    }
    if (this.#cancelledIds.has(submission.id)) {
      this.#end(record, SubmissionState.Cancelled);
      return false;
    }
    if (submission.occurrenceCount === 0) this.#openOccurrence(record, 0, nowMs);
    else this.#addRecurring(record, nowMs);
    const taskCount = tasksOfOccurrence(submission) * stepRunCount(submission);
    const isTooLarge = record.tasksPerPage === undefined && taskCount > tasksInOneRow(limits);
    if (isTooLarge && isOpen(record)) this.startPaging(record, tasksInOnePage(limits));
    return isPagingPending(record);
  }

  /** Opens occurrences that a former owner has started, even if not due by this process's clock. */
  #addRecurring(record: SubmissionRecord, nowMs: number): void {
    this.#recurring.add(record);
    while (record.nextOccurrence < startedOccurrenceCount(record)) {
      this.#openOccurrence(record, record.nextOccurrence, nowMs);
      record.nextOccurrence += 1;
    }
  }

  /** Cancels a submission, even one that is not known yet. Returns the runs to stop. */
  cancel(id: string): readonly TaskRun[] {
    this.#cancelledIds.add(id);
    const record = this.#records.get(id);
    if (record === undefined || !isOpen(record)) return [];
    return this.#end(record, SubmissionState.Cancelled);
  }

  /** Opens the occurrences that are due by the wall clock. */
  openDueOccurrences(wallNowMs: number, nowMs: number): void {
    this.#recurring.forEach((record) => {
      const { submission } = record;
      const count = stepRunCount(submission);
      while (record.nextOccurrence < count) {
        const dueWallMs =
          submission.firstDueWallMs + record.nextOccurrence * submission.occurrenceIntervalMs;
        if (wallNowMs < dueWallMs) return;
        this.#openOccurrence(record, record.nextOccurrence, nowMs);
        record.nextOccurrence += 1;
      }
      this.#recurring.delete(record);
    });
  }

  /** Returns the task with this name, or undefined if its occurrence has not been opened. */
  find(name: string): TaskRecord | undefined {
    const address = parseTaskName(name);
    if (address === undefined) return undefined;
    const opened = this.#records.get(address.id)?.occurrences.get(address.occurrence);
    return opened?.tasks[address.stepIndex]?.[address.index];
  }

  /** Records a run that has been assigned to a worker or found on one. */
  addRun(run: TaskRun): void {
    const { task } = run;
    task.runs.push(run);
    task.lastRun = Math.max(task.lastRun, run.run);
    task.submission.delays.runCount += 1;
    this.#waiting.delete(task);
  }

  /** Returns and clears the tasks that may still run on workers that former owners chose. */
  takeInherited(): readonly InheritedTask[] {
    const taken = this.#inherited;
    this.#inherited = [];
    return taken;
  }

  /** Records what all submissions with waiting tasks wait for. */
  noteDelay(cause: DelayCause, nowMs: number): void {
    this.#waiting.groups.forEach(({ tasks }) => {
      const [first] = tasks;
      first?.submission.delays.note(cause, first.waitingSinceMs, nowMs);
    });
  }

  /** Returns and clears the submissions that have ended since the last call. */
  takeEnded(): readonly SubmissionRecord[] {
    const taken = this.#ended;
    this.#ended = [];
    return taken;
  }

  /** Marks a submission as running when its first task is known to have started. */
  noteStarted(record: SubmissionRecord): void {
    if (record.hasStarted) return;
    record.hasStarted = true;
    if (!isOpen(record)) return;
    record.state = SubmissionState.Running;
    this.#dirtyProgress.add(headOf(record));
  }

  /** Removes a run that is over. Its task waits again unless it is done or its submission ended. */
  removeRun(run: TaskRun, nowMs: number): void {
    const { task } = run;
    const index = task.runs.indexOf(run);
    if (index >= 0) task.runs.splice(index, 1);
    this.#enqueue(task, nowMs);
  }

  /**
   * Handles a run end that a worker lists; called before the run is removed. Returns the runs to
   * stop: copies of a task that is done.
   */
  noteEnd(task: TaskRecord, run: number, end: RunEnd, nowMs: number): readonly TaskRun[] {
    if (task.step.isPersistent || !isOpen(task.submission) || task.isDone) return [];
    if (end === RunEnd.Done) return this.#noteDone(task, nowMs);
    if (end === RunEnd.Failed) return this.#noteFailed(task, run, nowMs);
    return [];
  }

  /**
   * Returns and unmarks the parts whose progress is yet to be stored. Those of submissions that have
   * ended come first, because their callers wait for that. A head that makes the pages of its
   * submission valid comes after them.
   */
  takeDirtyProgress(): readonly SubmissionPart[] {
    const rankOf = ({ record, index }: SubmissionPart): number => {
      if (!isOpen(record)) return index === HEAD ? 0 : 1;
      return index === HEAD && isPagingPending(record) ? 3 : 2;
    };
    const taken = [...this.#dirtyProgress].sort((one, other) => rankOf(one) - rankOf(other));
    this.#dirtyProgress.clear();
    return taken;
  }

  /** Returns and unmarks those of `parts` whose progress is yet to be stored. */
  takeDirtyProgressOf(parts: readonly SubmissionPart[]): readonly SubmissionPart[] {
    return parts.filter((part) => this.#dirtyProgress.delete(part));
  }

  markProgressDirty(part: SubmissionPart): void {
    this.#dirtyProgress.add(part);
  }

  /** Returns and unmarks parts with runs that are not yet in their stored assignments. */
  takeDirtyAssignments(limit: number): readonly SubmissionPart[] {
    // A run is started only once the next owner would find its assignment.
    const taken = [...this.#dirtyAssignments]
      .filter(({ record }) => !isPagingPending(record))
      .slice(0, limit);
    taken.forEach((part) => this.#dirtyAssignments.delete(part));
    return taken;
  }

  markAssignmentsDirty(task: TaskRecord): void {
    this.markPartAssigned(partOf(task));
  }

  markPartAssigned(part: SubmissionPart): void {
    if (isOpen(part.record)) this.#dirtyAssignments.add(part);
  }

  /** Stores the state of a submission in pages from now on. */
  startPaging(record: SubmissionRecord, tasksPerPage: number): void {
    Object.assign(record, { tasksPerPage, isPagingStored: false });
    const head = headOf(record);
    const hasNewRuns = this.#dirtyAssignments.delete(head);
    allParts(record).forEach((part) => {
      this.#dirtyProgress.add(part);
      if (hasNewRuns && part !== head) this.#dirtyAssignments.add(part);
    });
  }

  /** Counts the submissions that wait for their first start, by queue. */
  waitingCounts(): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    this.#records.forEach((record) => {
      if (record.hasStarted || !isOpen(record)) return;
      const { queueName } = record.submission;
      counts.set(queueName, (counts.get(queueName) ?? 0) + 1);
    });
    return Object.fromEntries(counts);
  }

  /** The services that open submissions were accepted for. */
  openServiceNames(): Set<string> {
    const names = new Set<string>();
    this.#records.forEach((record) => {
      if (isOpen(record)) names.add(record.submission.serviceName);
    });
    return names;
  }

  /** Fails a submission after a task has used up its attempts. Returns the runs to stop. */
  fail(record: SubmissionRecord): readonly TaskRun[] {
    return isOpen(record) ? this.#end(record, SubmissionState.Failed) : [];
  }

  #openOccurrence(record: SubmissionRecord, occurrence: number, nowMs: number): void {
    const opened = openOccurrence(record, occurrence, nowMs);
    opened.tasks.flat().forEach((task) => {
      this.#checkpoints.restore(task, nowMs);
      this.#noteInherited(task);
    });
    opened.tasks.forEach((_, stepIndex) => this.#enqueueStep(opened, stepIndex, nowMs));
    this.#finishOccurrence(record, opened);
  }

  #noteInherited(task: TaskRecord): void {
    if (task.isDone) return;
    const runs = task.submission.inheritedRuns.get(task.position) ?? [];
    // Runs that are over count as well: their task has been interrupted and is not a new one.
    task.lastRun = Math.max(task.lastRun, ...runs.map(({ run }) => run));
    const mayRun = ({ run, workerId }: InheritedRun): boolean =>
      workerId !== NO_WORKER_ID && !task.failedRuns.includes(run);
    runs.filter(mayRun).forEach((inherited) => this.#inherited.push({ task, inherited }));
  }

  #enqueueStep(opened: OccurrenceRecord, stepIndex: number, nowMs: number): void {
    if (!isStepReady(opened, stepIndex)) return;
    opened.tasks[stepIndex]?.forEach((task) => this.#enqueue(task, nowMs));
  }

  #enqueue(task: TaskRecord, nowMs: number): void {
    const opened = task.submission.occurrences.get(task.occurrence);
    const isReady = opened !== undefined && isStepReady(opened, task.stepIndex);
    if (!isReady || task.isDone || task.runs.length > 0 || !isOpen(task.submission)) return;
    if (this.#waiting.has(task)) return;
    task.waitingSinceMs = nowMs;
    this.#waiting.add(task);
  }

  #noteDone(task: TaskRecord, nowMs: number): readonly TaskRun[] {
    const opened = task.submission.occurrences.get(task.occurrence);
    const tasks = task.step.isGang ? (opened?.tasks[task.stepIndex] ?? []) : [task];
    const remainingRuns = tasks.flatMap((member) => this.#markDone(member, opened));
    tasks.forEach((member) => this.#dirtyProgress.add(partOf(member)));
    if (opened !== undefined && opened.openCounts[task.stepIndex] === 0) {
      opened.tasks.forEach((_, stepIndex) => this.#enqueueStep(opened, stepIndex, nowMs));
      this.#finishOccurrence(task.submission, opened);
    }
    // The members of a gang end by themselves; only copies have to be stopped.
    return task.step.isGang ? [] : remainingRuns;
  }

  #markDone(task: TaskRecord, opened: OccurrenceRecord | undefined): readonly TaskRun[] {
    if (task.isDone) return [];
    task.isDone = true;
    this.#waiting.delete(task);
    this.#checkpoints.remove(task);
    if (opened !== undefined) {
      opened.openCounts[task.stepIndex] = (opened.openCounts[task.stepIndex] ?? 1) - 1;
    }
    return task.runs;
  }

  #finishOccurrence(record: SubmissionRecord, opened: OccurrenceRecord): void {
    if (opened.openCounts.some((count) => count > 0)) return;
    record.finishedOccurrences.add(opened.occurrence);
    if (allOccurrencesDone(record)) this.#end(record, SubmissionState.Complete);
  }

  #noteFailed(task: TaskRecord, run: number, nowMs: number): readonly TaskRun[] {
    if (task.failedRuns.includes(run)) return [];
    const opened = task.submission.occurrences.get(task.occurrence);
    const members = task.step.isGang ? (opened?.tasks[task.stepIndex] ?? []) : [task];
    if (members.some(({ failedRuns }) => failedRuns.includes(run))) return [];
    task.failedRuns.push(run);
    task.notBeforeMs = nowMs + FAILED_RETRY_DELAY_MS;
    this.#dirtyProgress.add(partOf(task));
    return [];
  }

  #end(record: SubmissionRecord, state: SubmissionState): readonly TaskRun[] {
    record.state = state;
    this.#ended.push(record);
    recordEndInSizeBalance(record);
    record.parts.forEach((part) => this.#dirtyAssignments.delete(part));
    this.#dirtyProgress.add(headOf(record));
    this.#recurring.delete(record);
    const tasks = [...record.occurrences.values()].flatMap((opened) => opened.tasks.flat());
    tasks.forEach((task) => {
      this.#waiting.delete(task);
      this.#checkpoints.remove(task);
    });
    return tasks.flatMap((task) => task.runs);
  }
}
