/** The submissions of callers: each has steps, and each step has several equal tasks. */
import type { Resources } from '../../worker/common/resources.js';

/** One step of a submission; its tasks differ only in their index. */
export interface Step {
  readonly taskCount: number;
  /** The resources that one task needs. */
  readonly size: Resources;
  /** The caller's rough estimate of how long a task works; zero if there is none. */
  readonly estimateMs: number;
  /** Indexes of the earlier steps that this step depends on; all their tasks must succeed first. */
  readonly after: readonly number[];
  /** Whether the tasks can only run together; they also end together. */
  readonly isGang: boolean;
  /** Whether the tasks are slower when spread over more than one rack. */
  readonly prefersOneRack: boolean;
  /** A label that the worker must have; empty if any worker is suitable. */
  readonly requiredLabel: string;
  /** The rack that holds the step's data; empty if there is none. */
  readonly dataRack: string;
  /** The maximum number of tasks of one occurrence on one worker; zero for no limit. */
  readonly maximumPerWorker: number;
  /** Whether copies of a task may run concurrently; the first one to finish counts. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the submission is cancelled and restart whenever they end. */
  readonly isPersistent: boolean;
  readonly savesProgress: boolean;
  /** The image that the tasks run; tasks of one image behave alike. Empty if unknown. */
  readonly image: string;
  /** The tail latency that a serving task must stay below; zero if the task serves no requests. */
  readonly targetLatencyMs: number;
  /** Whether the tasks use only idle processors and reserve none of the capacity. */
  readonly isFiller: boolean;
  /** How many tasks of a persistent step the system may take down at a time. */
  readonly toleratedAwayCount: number;
}

/** What operators set for the submissions of a queue. */
export interface QueueTerms {
  /** Zero is the highest priority. */
  readonly priority: number;
  /** A submission fails when one of its tasks has had this many failed runs. */
  readonly maximumAttempts: number;
  /** The completion objective is this factor times the longest chain of work plus `objectiveMs`. */
  readonly objectiveStretch: number;
  readonly objectiveMs: number;
}

export interface Submission {
  /** Chosen by the caller; a request with a known id repeats the same submission. */
  readonly id: string;
  readonly queueName: string;
  /** The service of the queue when the submission was accepted. */
  readonly serviceName: string;
  /**
   * The terms of the queue when the submission was accepted, which apply while the configuration
   * does not name the queue. Rows of older builds have none.
   */
  readonly queueTerms?: QueueTerms | undefined;
  /** Passed on to the workers unchanged. */
  readonly spec: string;
  readonly steps: readonly Step[];
  /** How many times the steps run; zero to run once, immediately. */
  readonly occurrenceCount: number;
  /** When the first occurrence is due, in Unix milliseconds. */
  readonly firstDueWallMs: number;
  readonly occurrenceIntervalMs: number;
  /** When an instance accepted the submission, in Unix milliseconds on that instance's clock. */
  readonly acceptedWallMs: number;
  /**
   * How many tasks one stored page describes; undefined while one row describes all of them. Set by
   * the scheduler.
   */
  readonly tasksPerPage?: number | undefined;
}

export const SubmissionState = {
  Queued: 'queued',
  Running: 'running',
  Complete: 'complete',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;
export type SubmissionState = (typeof SubmissionState)[keyof typeof SubmissionState];

export const isFinalState = (state: SubmissionState): boolean =>
  state !== SubmissionState.Queued && state !== SubmissionState.Running;

/** Returns how many times the steps run. */
export const stepRunCount = (submission: Submission): number =>
  Math.max(1, submission.occurrenceCount);
