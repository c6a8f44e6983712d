/**
 * Checks a soak run of the daemon against the observations of its clients and workers. Every time
 * is an argument, so that tests can replay any order of events.
 */
import { type EndRecord, EndRecords } from '../../../standIns/fleet/endRecords.js';
import type { FaultWindows } from './faultWindows.js';
import {
  RunOutcome,
  type SoakStep,
  type SoakSubmission,
  taskNames,
  parseTaskName,
  type WorkerIncarnation,
} from './soakTypes.js';
import { SubmissionRecord } from './submissionRecord.js';
import { PersistentTasks } from './persistentTasks.js';
import { WorkerTracker } from './workerTracker.js';

/** The failed runs that each queue of the soak allows a task. */
export const MAXIMUM_ATTEMPTS = 3;
const CANCEL_BOUND_MS = 3_000;
const VISIBLE_BOUND_MS = 3_000;
/** The longest time in which a task may still start after its submission is shown as complete. */
const LATE_START_BOUND_MS = 1_000;
const DRAIN_BOUND_MS = 2_000;
/** A core fault still excuses a late start if the fault ended less than this before the period. */
const DISTURBANCE_MARGIN_MS = 3_000;

export interface StartEvent {
  readonly incarnationKey: string;
  readonly taskName: string;
  readonly run: number;
  readonly fence: number;
}

export class PlatformJudge {
  readonly findings: string[] = [];

  readonly submissions = new Map<string, SubmissionRecord>();

  readonly counts = { starts: 0, ends: 0, accepted: 0, refused: 0, cancelled: 0, states: 0 };

  readonly persistentTasks: PersistentTasks;

  readonly #faults: FaultWindows;

  readonly #workers = new WorkerTracker();

  /** Ends as done. */
  readonly #ends = new EndRecords();

  readonly #failedEnds = new EndRecords();

  readonly #lastStartsMs = new Map<string, number>();

  readonly #drainingSinceMs = new Map<string, number>();

  constructor(faults: FaultWindows) {
    this.#faults = faults;
    this.persistentTasks = new PersistentTasks(faults, this.#workers);
  }

  /** Returns the step of a task; undefined if the task belongs to no known submission. */
  stepOf(taskName: string): SoakStep | undefined {
    const place = parseTaskName(taskName);
    if (place === undefined) return undefined;
    return this.submissions.get(place.submissionId)?.submission.steps[place.stepIndex];
  }

  noteWorker(incarnation: WorkerIncarnation): void {
    this.#workers.add(incarnation);
  }

  noteDraining(incarnationKey: string, nowMs: number): void {
    this.#workers.markDraining(incarnationKey);
    this.#drainingSinceMs.set(incarnationKey, nowMs);
  }

  /** The worker process has ended together with all tasks that ran on it. */
  noteWorkerGone(incarnationKey: string): void {
    this.#workers.remove(incarnationKey);
  }

  noteSubmission(submission: SoakSubmission): void {
    this.submissions.set(submission.id, new SubmissionRecord(submission));
  }

  noteAccepted(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined || record.acceptedAtMs !== undefined) return;
    record.acceptedAtMs = nowMs;
    this.counts.accepted += 1;
    if (record.isRefused) this.#addFinding(`${id} was accepted after it was refused`, nowMs);
    this.persistentTasks.noteAccepted(record.submission, nowMs);
  }

  /** Records that every attempt to submit it was refused. */
  noteRefused(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    record.isRefused = true;
    this.counts.refused += 1;
    if (record.hasStarted) this.#addFinding(`${id} was refused and has started`, nowMs);
  }

  noteCancelSent(id: string): void {
    const record = this.submissions.get(id);
    if (record !== undefined) record.isCancelSent = true;
    this.persistentTasks.noteCancelSent(id);
  }

  noteCancelled(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    record.cancelledAtMs ??= nowMs;
    this.counts.cancelled += 1;
  }

  /** Records the state that a client was shown; undefined if the submission was not found. */
  noteState(id: string, state: string | undefined, sentAtMs: number, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    this.counts.states += 1;
    record.lastState = state;
    const isDue =
      record.acceptedAtMs !== undefined && sentAtMs > record.acceptedAtMs + VISIBLE_BOUND_MS;
    if (state === undefined) {
      if (isDue) this.#addFinding(`${id} was accepted and is answered 410`, nowMs);
      return;
    }
    if (record.isRefused) this.#addFinding(`${id} was refused and is shown as ${state}`, nowMs);
    if (state === 'failed') this.#addFinding(`${id} is shown as failed`, nowMs);
    if (state === 'cancelled' && !record.isCancelSent) {
      this.#addFinding(`${id} is shown as cancelled, which nobody asked for`, nowMs);
    }
    if (state !== 'complete') return;
    record.completeAtMs ??= nowMs;
    const openTasks = record.allTaskNames().filter((name) => !this.#ends.has(name));
    if (openTasks.length > 0)
      this.#addFinding(`${id} is shown as complete without ${openTasks[0]}`, nowMs);
  }

  noteStart({ incarnationKey, taskName, run, fence }: StartEvent, nowMs: number): void {
    this.counts.starts += 1;
    const label = `${taskName} run ${run} at ${incarnationKey}`;
    const record = this.submissions.get(parseTaskName(taskName)?.submissionId ?? '');
    const step = this.stepOf(taskName);
    if (record === undefined || step === undefined) {
      this.#addFinding(`${label}: nobody asked for it`, nowMs);
      return;
    }
    record.hasStarted = true;
    if (record.isRefused) this.#addFinding(`${label}: starts, and was refused`, nowMs);
    const incarnations = this.#workers.incarnationsRunning(taskName);
    if (incarnations.length > 0)
      this.#addFinding(`${label}: runs at ${incarnations.join(', ')} too`, nowMs);
    this.#workers.start(incarnationKey, taskName, step.size);
    if (this.#workers.isOverCapacity(incarnationKey))
      this.#addFinding(`${label}: is over capacity`, nowMs);
    if (this.#ends.acknowledgedCount(taskName) > 0)
      this.#addFinding(`${label}: its end is recorded`, nowMs);
    if (!step.isPersistent && this.#failedEnds.acknowledgedCount(taskName) >= MAXIMUM_ATTEMPTS)
      this.#addFinding(`${label}: all its attempts have failed`, nowMs);
    this.#lastStartsMs.set(taskName, nowMs);
    this.persistentTasks.noteStart(taskName, nowMs);
    this.#checkOrder(record.submission, step.after, label, nowMs);
    this.#checkTimes(record, incarnationKey, label, nowMs);
    this.noteFence(incarnationKey, fence, nowMs);
  }

  noteEnd(incarnationKey: string, taskName: string, outcome: RunOutcome, nowMs: number): void {
    this.counts.ends += 1;
    this.#workers.end(incarnationKey, taskName);
    if (outcome === RunOutcome.Done) this.#ends.noteEnd(incarnationKey, taskName, nowMs);
    if (outcome === RunOutcome.Failed) this.#failedEnds.noteEnd(incarnationKey, taskName, nowMs);
    this.persistentTasks.noteEnd(taskName, nowMs);
  }

  noteListed(incarnationKey: string, sequence: number, taskName: string): void {
    this.#ends.noteListed(incarnationKey, sequence, taskName);
    this.#failedEnds.noteListed(incarnationKey, sequence, taskName);
  }

  /** Ends that were not recorded before the worker's lease lapsed may be repeated. */
  noteLeaseLapsed(incarnationKey: string): void {
    this.#ends.noteLeaseLapsed(incarnationKey);
    this.#failedEnds.noteLeaseLapsed(incarnationKey);
  }

  noteAcknowledged(incarnationKey: string, sequence: number, nowMs: number): void {
    this.#failedEnds.acknowledge(incarnationKey, sequence);
    this.#ends
      .acknowledge(incarnationKey, sequence)
      .forEach(({ taskName, endedAtMs }: EndRecord) => {
        const startedAtMs = this.#lastStartsMs.get(taskName) ?? 0;
        if (startedAtMs <= endedAtMs) return;
        this.#addFinding(`${taskName}: started after the end that is recorded now`, nowMs);
      });
  }

  /** Records that an order with this fence had effect. */
  noteFence(incarnationKey: string, fence: number, nowMs: number): void {
    const violation = this.#workers.noteFence(incarnationKey, fence, nowMs);
    if (violation !== undefined) this.#addFinding(`${incarnationKey}: ${violation}`, nowMs);
  }

  /** Checks waits that are too long. Must be called several times a second. */
  advance(nowMs: number): void {
    this.persistentTasks.advance(nowMs).forEach((text) => this.#addFinding(text, nowMs));
  }

  /**
   * Ids of accepted submissions that have not been shown as complete, without cancelled and
   * persistent ones.
   */
  unfinished(): readonly string[] {
    return [...this.submissions.values()]
      .filter((record) => record.isExpectedToComplete && !record.submission.steps[0]?.isPersistent)
      .filter((record) => record.lastState !== 'complete')
      .map(({ submission }) => submission.id);
  }

  noteUnfinished(nowMs: number): void {
    this.unfinished().forEach((id) => {
      this.#addFinding(
        `${id} is ${this.submissions.get(id)?.lastState ?? 'unknown'} at the end`,
        nowMs,
      );
    });
    this.persistentTasks
      .waiting()
      .forEach((name) => this.#addFinding(`${name} waits at the end`, nowMs));
  }

  noteUnexpected(text: string, nowMs: number): void {
    this.#addFinding(text, nowMs);
  }

  #checkOrder(
    submission: SoakSubmission,
    after: readonly number[],
    name: string,
    nowMs: number,
  ): void {
    const openTasks = after
      .flatMap((stepIndex) => taskNames(submission, stepIndex))
      .filter((earlier) => !this.#ends.has(earlier));
    if (openTasks.length > 0)
      this.#addFinding(`${name}: starts before ${openTasks[0]} is done`, nowMs);
  }

  #checkTimes(record: SubmissionRecord, incarnationKey: string, name: string, nowMs: number): void {
    const isLate = (sinceMs: number | undefined, boundMs: number): boolean =>
      sinceMs !== undefined &&
      nowMs - sinceMs > boundMs &&
      !this.#faults.hasCoreFault(sinceMs - DISTURBANCE_MARGIN_MS, nowMs);
    if (isLate(record.cancelledAtMs, CANCEL_BOUND_MS)) {
      this.#addFinding(
        `${name}: starts ${nowMs - (record.cancelledAtMs ?? 0)} ms after cancel`,
        nowMs,
      );
    }
    if (isLate(record.completeAtMs, LATE_START_BOUND_MS)) {
      this.#addFinding(`${name}: starts after complete was shown`, nowMs);
    }
    if (isLate(this.#drainingSinceMs.get(incarnationKey), DRAIN_BOUND_MS)) {
      this.#addFinding(`${name}: starts on a worker that drains`, nowMs);
    }
  }

  #addFinding(text: string, nowMs: number): void {
    this.findings.push(`${Math.round(nowMs)} ms: ${text}`);
  }
}
