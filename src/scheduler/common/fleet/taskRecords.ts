/** The scheduler's in-memory records of a submission, its tasks and their runs. */
import {
  type Submission,
  SubmissionState,
  isFinalState,
  stepRunCount,
  type Step,
} from '../../../services/submissions/common/submission.js';
import type { Assignments, Progress } from '../../../services/submissions/common/submissionRows.js';
import type { Resources } from '../../../services/worker/common/resources.js';
import { SavedProgress } from './savedProgress.js';
import type { SubmissionPart } from './submissionParts.js';
import type { SizeBalance, SizeClass } from './sizeBalance.js';
import { SubmissionDelays } from './submissionDelays.js';

export const RunState = {
  /** Capacity on the worker is taken; the start is sent once the assignment is stored. */
  Assigned: 'assigned',
  /** The start has been sent and has no answer yet. */
  Starting: 'starting',
  /** The start got no answer: the worker may have carried it out, or may still do so. */
  Unanswered: 'unanswered',
  Running: 'running',
  /** The run is to be stopped; it keeps its capacity until the worker no longer lists it. */
  Stopping: 'stopping',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/** One run of a task on one worker. It takes capacity there as long as the record exists. */
export interface TaskRun {
  readonly task: TaskRecord;
  readonly run: number;
  /** The last run of the task before this one; 0 if there was none. */
  readonly previousRun: number;
  readonly workerId: string;
  state: RunState;
  /** When the last order about the run was answered; a list requested earlier may lack the run. */
  settledAtMs: number;
  startedAtMs: number;
  isStopInFlight: boolean;
  isStopConfirmed: boolean;
  workedPercent: number;
  /** The progress that the worker first listed for the run, and when. */
  firstListed: { readonly percent: number; readonly atMs: number } | undefined;
  /** Since when `workedPercent` has not changed. */
  percentUnchangedSinceMs: number;
  recentMeasurement: number;
  /** How far the tail latency of a serving task is from its target, smoothed; see `headroom.ts`. */
  headroom: number;
  /** Since when the tail latency has likely been over its target. */
  overTargetSinceMs: number | undefined;
  pacePercent: number;
  /** The pace planned at placement, or the highest pace set since then. */
  plannedPercent: number;
  /** When the pace was last lowered. */
  paceLoweredAtMs: number;
}

export interface TaskRecord {
  readonly submission: SubmissionRecord;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
  readonly step: Step;
  /** Position among all tasks of all occurrences; identifies the task in the stored progress. */
  readonly position: number;
  readonly name: string;
  isDone: boolean;
  readonly runs: TaskRun[];
  lastRun: number;
  readonly failedRuns: number[];
  readonly saved: SavedProgress;
  notBeforeMs: number;
  waitingSinceMs: number;
}

export interface OccurrenceRecord {
  readonly occurrence: number;
  /** Tasks by step. */
  readonly tasks: readonly (readonly TaskRecord[])[];
  /** Tasks not yet done, by step. */
  readonly openCounts: number[];
}

/** A run that a former owner assigned, as read from the stored assignments. */
export interface InheritedRun {
  readonly workerId: string;
  readonly run: number;
}

/** Number and total estimated processor time of the submissions of one queue. */
export interface QueueWork {
  count: number;
  processorMs: number;
  readonly balance: SizeBalance;
}

export interface SubmissionRecord {
  readonly submission: Submission;
  /** Increases in the order in which the scheduler learnt of the submissions. */
  readonly order: number;
  readonly occurrences: Map<number, OccurrenceRecord>;
  /** The progress that was stored when the record was created. */
  readonly initialProgress: Progress;
  /** Occurrences whose tasks are all done. */
  readonly finishedOccurrences: Set<number>;
  nextOccurrence: number;
  state: SubmissionState;
  hasStarted: boolean;
  /** Runs that former owners may have started, by the position of their task. */
  readonly inheritedRuns: ReadonlyMap<number, readonly InheritedRun[]>;
  learntAtMs: number;
  /** Estimated processor time of all tasks of one occurrence. */
  readonly processorMs: number;
  /** Totals over the submissions of its queue. */
  readonly queueWork: QueueWork;
  readonly sizeClass: SizeClass;
  /** Whether the size balance of its queue counts it. */
  isInSizeBalance: boolean;
  /** Whether it comes first in its queue because too few submissions of its size are served. */
  isReserved: boolean;
  readonly delays: SubmissionDelays;
  /** How many tasks one stored page describes; undefined while one row describes all of them. */
  tasksPerPage: number | undefined;
  /** Whether a reader finds `tasksPerPage` with the submission. Until then pages have no effect. */
  isPagingStored: boolean;
  /** The parts in which its state is stored, by index. */
  readonly parts: Map<number, SubmissionPart>;
  /** Indexes of the pages that are in the table. */
  readonly storedPages: Set<number>;
}

export const taskName = (
  id: string,
  occurrence: number,
  stepIndex: number,
  index: number,
): string => `${id}.${occurrence}.${stepIndex}.${index}`;

/** Identifies one step in one occurrence of a submission. */
export const stepName = ({ submission, occurrence, stepIndex }: TaskRecord): string =>
  `${submission.submission.id}.${occurrence}.${stepIndex}`;

/** Whether both are tasks of one step in one occurrence of a submission. */
export const isSameStep = (one: TaskRecord, other: TaskRecord): boolean =>
  one.submission === other.submission &&
  one.stepIndex === other.stepIndex &&
  one.occurrence === other.occurrence;

export interface TaskAddress {
  readonly id: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
}

/** Returns the parts of a task's name, or undefined if the text is not a task's name. */
export const parseTaskName = (name: string): TaskAddress | undefined => {
  const [id, ...rest] = name.split('.');
  const [occurrence, stepIndex, index] = rest.map(Number);
  if (id === undefined || rest.length !== 3) return undefined;
  if (occurrence === undefined || stepIndex === undefined || index === undefined) return undefined;
  if (![occurrence, stepIndex, index].every(Number.isSafeInteger)) return undefined;
  return { id, occurrence, stepIndex, index };
};

const MILLIS_PER_PROCESSOR = 1_000;

export const NO_PROGRESS: Progress = {
  state: SubmissionState.Queued,
  done: [],
  failedRuns: {},
};

export const NO_ASSIGNMENTS: Assignments = {};

/** The id under which stored assignments list persistent tasks that wait to start again. */
export const NO_WORKER_ID = '';

const toInheritedRuns = (assignments: Assignments): SubmissionRecord['inheritedRuns'] => {
  const runs = new Map<number, InheritedRun[]>();
  Object.entries(assignments).forEach(([workerId, pairs]) => {
    for (let index = 0; index + 1 < pairs.length; index += 2) {
      const position = pairs[index] as number;
      const run = pairs[index + 1] as number;
      runs.set(position, [...(runs.get(position) ?? []), { workerId, run }]);
    }
  });
  return runs;
};

/** Estimated processor time of one task of a step. */
export const taskProcessorMs = ({ size, estimateMs }: Step): number =>
  Math.max(1, (size.processorMillis / MILLIS_PER_PROCESSOR) * estimateMs);

const submissionProcessorMs = ({ steps }: Submission): number =>
  steps.reduce((sum, step) => sum + step.taskCount * taskProcessorMs(step), 0);

export const newSubmissionRecord = (
  submission: Submission,
  progress: Progress,
  order: number,
  assignments: Assignments,
  queueWork: QueueWork,
  nowMs: number,
): SubmissionRecord => {
  const processorMs = submissionProcessorMs(submission);
  return {
    submission,
    order,
    occurrences: new Map(),
    initialProgress: progress,
    finishedOccurrences: new Set(),
    nextOccurrence: 0,
    state: progress.state,
    hasStarted: progress.state !== SubmissionState.Queued,
    inheritedRuns: toInheritedRuns(assignments),
    learntAtMs: nowMs,
    processorMs,
    queueWork,
    sizeClass: queueWork.balance.classify(processorMs),
    isInSizeBalance: false,
    isReserved: false,
    delays: new SubmissionDelays(),
    tasksPerPage: submission.tasksPerPage,
    isPagingStored: submission.tasksPerPage !== undefined,
    parts: new Map(),
    storedPages: new Set(),
  };
};

/** Counts the submission in the size balance of its queue, once. */
export const countInSizeBalance = (record: SubmissionRecord): void => {
  if (record.isInSizeBalance) return;
  record.isInSizeBalance = true;
  record.queueWork.balance.count(record.sizeClass);
};

export const tasksOfOccurrence = (submission: Submission): number =>
  submission.steps.reduce((sum, step) => sum + step.taskCount, 0);

/** Counts the occurrences up to the last one with a task in the stored progress or assignments. */
export const startedOccurrenceCount = (record: SubmissionRecord): number => {
  const { submission, initialProgress, inheritedRuns } = record;
  const failedPositions = Object.keys(initialProgress.failedRuns).map(Number);
  const positions = [...initialProgress.done, ...failedPositions, ...inheritedRuns.keys()];
  const last = positions.reduce((highest, position) => Math.max(highest, position), -1);
  return Math.ceil((last + 1) / Math.max(1, tasksOfOccurrence(submission)));
};

/** Creates the task records of an occurrence from its stored progress. */
export const openOccurrence = (
  record: SubmissionRecord,
  occurrence: number,
  nowMs: number,
): OccurrenceRecord => {
  const { submission, initialProgress } = record;
  const done = new Set(initialProgress.done);
  let position = occurrence * tasksOfOccurrence(submission);
  const tasks = submission.steps.map((step, stepIndex) => {
    // All members of a gang have to resume from the same checkpoint.
    const savedOfGang = step.isGang ? new SavedProgress() : undefined;
    return Array.from({ length: step.taskCount }, (_, index): TaskRecord => {
      const task: TaskRecord = {
        submission: record,
        occurrence,
        stepIndex,
        index,
        step,
        position,
        name: taskName(submission.id, occurrence, stepIndex, index),
        isDone: done.has(position),
        runs: [],
        lastRun: 0,
        failedRuns: [...(initialProgress.failedRuns[position] ?? [])],
        saved: savedOfGang ?? new SavedProgress(),
        notBeforeMs: nowMs,
        waitingSinceMs: nowMs,
      };
      position += 1;
      return task;
    });
  });
  const openCounts = tasks.map((step) => step.filter(({ isDone }) => !isDone).length);
  const opened = { occurrence, tasks, openCounts };
  record.occurrences.set(occurrence, opened);
  return opened;
};

/** Whether all tasks of the steps that this step waits for are done. */
export const isStepReady = (opened: OccurrenceRecord, stepIndex: number): boolean => {
  const step = opened.tasks[stepIndex]?.[0]?.step;
  return step !== undefined && step.after.every((earlier) => opened.openCounts[earlier] === 0);
};

export const isOpen = (record: SubmissionRecord): boolean => !isFinalState(record.state);

export const allOccurrencesDone = (record: SubmissionRecord): boolean =>
  record.finishedOccurrences.size >= stepRunCount(record.submission);

/** The capacity that a run takes on its worker; a filler's processors are not counted. */
export const countedSize = (step: Step): Resources =>
  step.isFiller ? { ...step.size, processorMillis: 0 } : step.size;

/** Returns what is stored of the progress of the tasks. */
export const toProgressOf = (
  tasks: readonly TaskRecord[],
): Pick<Progress, 'done' | 'failedRuns'> => {
  const done: number[] = [];
  const failedRuns: Record<string, number[]> = {};
  tasks.forEach((task) => {
    if (task.isDone) done.push(task.position);
    else if (task.failedRuns.length > 0 && !task.step.isPersistent) {
      failedRuns[task.position] = task.failedRuns;
    }
  });
  return { done, failedRuns };
};

/** Returns the progress of a submission that one row describes in its stored form. */
export const toProgress = (record: SubmissionRecord): Progress => {
  const { state, initialProgress } = record;
  // For a submission that has ended, the state is enough; its tasks are not listed.
  if (isFinalState(state)) return { state, done: [], failedRuns: {} };
  const opened = [...record.occurrences.values()].flatMap(({ tasks }) => tasks.flat());
  const progress = toProgressOf(opened);
  const done = new Set([...initialProgress.done, ...progress.done]);
  const failedRuns = { ...initialProgress.failedRuns, ...progress.failedRuns };
  // The failed attempts of a task that is done decide nothing any more.
  const open = Object.entries(failedRuns).filter(([position]) => !done.has(Number(position)));
  return {
    state,
    done: [...done].sort((left, right) => left - right),
    failedRuns: Object.fromEntries(open),
  };
};

/** Whether a persistent task that has run before is not running, so that users lack its service. */
export const isInterrupted = ({ step, runs, lastRun }: TaskRecord): boolean =>
  step.isPersistent && runs.length === 0 && lastRun > 0;

/** Returns the assignments of the tasks in their stored form. */
export const toAssignmentsOf = (tasks: readonly TaskRecord[]): Assignments => {
  const assignments = new Map<string, number[]>();
  const add = (workerId: string, { position }: TaskRecord, run: number): void => {
    const known = assignments.get(workerId);
    if (known === undefined) assignments.set(workerId, [position, run]);
    else known.push(position, run);
  };
  tasks.forEach((task) => {
    task.runs.forEach(({ workerId, run }) => add(workerId, task, run));
    if (isInterrupted(task)) add(NO_WORKER_ID, task, task.lastRun);
  });
  return Object.fromEntries(assignments);
};

export const toAssignments = (record: SubmissionRecord): Assignments =>
  toAssignmentsOf([...record.occurrences.values()].flatMap(({ tasks }) => tasks.flat()));

/** Counts the failed runs of a task, or of its whole gang if it belongs to one. */
export const failureCount = (task: TaskRecord): number => {
  if (!task.step.isGang) return task.failedRuns.length;
  const opened = task.submission.occurrences.get(task.occurrence);
  const members = opened?.tasks[task.stepIndex] ?? [task];
  return members.reduce((sum, member) => sum + member.failedRuns.length, 0);
};
