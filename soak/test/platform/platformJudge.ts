/**
 * Judges a soak of the platform's daemon from what its clients and workers have seen. Each time is
 * an argument, so that tests replay any order of events.
 */
import { type EndRecord, EndRecords } from '../../../standIns/fleet/endRecords.js';
import type { FaultTimes } from './faultTimes.js';
import {
  RunOutcome,
  type SoakStep,
  type SoakSubmission,
  taskNames,
  toTaskPlace,
  type WorkerLife,
} from './soakTypes.js';
import { SubmissionRecord } from './submissionRecord.js';
import { LastingTasks } from './lastingTasks.js';
import { WorkerLedger } from './workerLedger.js';

const CANCEL_MS = 3_000;
const VISIBLE_MS = 3_000;
/** After a submission is shown as complete, or an end is recorded. */
const LATE_START_MS = 1_000;
const DRAIN_MS = 2_000;
/** A disturbance of the core is near while it ended less than this before. */
const STABLE_MS = 3_000;

export interface StartNote {
  readonly lifeKey: string;
  readonly taskName: string;
  readonly run: number;
  readonly fence: number;
}

export class PlatformJudge {
  readonly findings: string[] = [];

  readonly submissions = new Map<string, SubmissionRecord>();

  readonly counts = { starts: 0, ends: 0, accepted: 0, refused: 0, cancelled: 0, states: 0 };

  readonly lasting: LastingTasks;

  readonly #faults: FaultTimes;

  readonly #workers = new WorkerLedger();

  readonly #ends = new EndRecords();

  readonly #lastStartsMs = new Map<string, number>();

  readonly #drainingSinceMs = new Map<string, number>();

  constructor(faults: FaultTimes) {
    this.#faults = faults;
    this.lasting = new LastingTasks(faults, this.#workers);
  }

  /** The step of a task that somebody has asked for. */
  stepOf(taskName: string): SoakStep | undefined {
    const place = toTaskPlace(taskName);
    if (place === undefined) return undefined;
    return this.submissions.get(place.submissionId)?.submission.steps[place.stepIndex];
  }

  noteWorker(life: WorkerLife): void {
    this.#workers.add(life);
  }

  noteDraining(lifeKey: string, nowMs: number): void {
    this.#workers.close(lifeKey);
    this.#drainingSinceMs.set(lifeKey, nowMs);
  }

  /** The process has ended, and all that ran on it. */
  noteWorkerGone(lifeKey: string): void {
    this.#workers.remove(lifeKey);
  }

  noteSubmission(submission: SoakSubmission): void {
    this.submissions.set(submission.id, new SubmissionRecord(submission));
  }

  noteAccepted(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined || record.acceptedAtMs !== undefined) return;
    record.acceptedAtMs = nowMs;
    this.counts.accepted += 1;
    if (record.isRefused) this.#find(`${id} was accepted after it was refused`, nowMs);
    this.lasting.noteAccepted(record.submission, nowMs);
  }

  /** Every attempt to hand it in was turned down. */
  noteRefused(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    record.isRefused = true;
    this.counts.refused += 1;
    if (record.hasStarted) this.#find(`${id} was refused and has started`, nowMs);
  }

  noteCancelSent(id: string): void {
    const record = this.submissions.get(id);
    if (record !== undefined) record.isCancelSent = true;
    this.lasting.noteCancelSent(id);
  }

  noteCancelled(id: string, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    record.cancelledAtMs ??= nowMs;
    this.counts.cancelled += 1;
  }

  /** A client was shown this state; undefined when it was told that nothing is known. */
  noteState(id: string, state: string | undefined, sentAtMs: number, nowMs: number): void {
    const record = this.submissions.get(id);
    if (record === undefined) return;
    this.counts.states += 1;
    record.lastState = state;
    const isDue = record.acceptedAtMs !== undefined && sentAtMs > record.acceptedAtMs + VISIBLE_MS;
    if (state === undefined) {
      if (isDue) this.#find(`${id} was accepted and is answered 410`, nowMs);
      return;
    }
    if (record.isRefused) this.#find(`${id} was refused and is shown as ${state}`, nowMs);
    if (state === 'failed') this.#find(`${id} is shown as failed`, nowMs);
    if (state === 'cancelled' && !record.isCancelSent) {
      this.#find(`${id} is shown as cancelled, which nobody asked for`, nowMs);
    }
    if (state !== 'complete') return;
    record.completeAtMs ??= nowMs;
    const open = record.allTaskNames().filter((name) => !this.#ends.isDone(name));
    if (open.length > 0) this.#find(`${id} is shown as complete without ${open[0]}`, nowMs);
  }

  noteStart({ lifeKey, taskName, run, fence }: StartNote, nowMs: number): void {
    this.counts.starts += 1;
    const name = `${taskName} run ${run} at ${lifeKey}`;
    const record = this.submissions.get(toTaskPlace(taskName)?.submissionId ?? '');
    const step = this.stepOf(taskName);
    if (record === undefined || step === undefined) {
      this.#find(`${name}: nobody asked for it`, nowMs);
      return;
    }
    record.hasStarted = true;
    if (record.isRefused) this.#find(`${name}: starts, and was refused`, nowMs);
    const places = this.#workers.placesOf(taskName);
    if (places.length > 0) this.#find(`${name}: runs at ${places.join(', ')} too`, nowMs);
    this.#workers.start(lifeKey, taskName, step.size);
    if (this.#workers.isOverCapacity(lifeKey)) this.#find(`${name}: is over capacity`, nowMs);
    if (this.#ends.hasAcknowledgedDone(taskName)) this.#find(`${name}: its end is recorded`, nowMs);
    this.#lastStartsMs.set(taskName, nowMs);
    this.lasting.noteStart(taskName, nowMs);
    this.#checkOrder(record.submission, step.after, name, nowMs);
    this.#checkTimes(record, lifeKey, name, nowMs);
    this.noteFence(lifeKey, fence, nowMs);
  }

  noteEnd(lifeKey: string, taskName: string, outcome: RunOutcome, nowMs: number): void {
    this.counts.ends += 1;
    this.#workers.end(lifeKey, taskName);
    if (outcome === RunOutcome.Done) this.#ends.noteDone(lifeKey, taskName, nowMs);
    this.lasting.noteEnd(taskName, nowMs);
  }

  noteListed(lifeKey: string, sequence: number, taskName: string): void {
    this.#ends.noteListed(lifeKey, sequence, taskName);
  }

  /** An end that a lapse of the worker's lease came before is not owed any more. */
  noteLeaseLapsed(lifeKey: string): void {
    this.#ends.noteLeaseLapsed(lifeKey);
  }

  noteAcknowledged(lifeKey: string, sequence: number, nowMs: number): void {
    this.#ends.acknowledge(lifeKey, sequence).forEach(({ taskName, endedAtMs }: EndRecord) => {
      const startedAtMs = this.#lastStartsMs.get(taskName) ?? 0;
      if (startedAtMs <= endedAtMs) return;
      this.#find(`${taskName}: started after the end that is recorded now`, nowMs);
    });
  }

  /** An order with this fence had effect. */
  noteFence(lifeKey: string, fence: number, nowMs: number): void {
    const fault = this.#workers.noteFence(lifeKey, fence, nowMs);
    if (fault !== undefined) this.#find(`${lifeKey}: ${fault}`, nowMs);
  }

  /** What only time shows; to be called several times a second. */
  advance(nowMs: number): void {
    this.lasting.advance(nowMs).forEach((text) => this.#find(text, nowMs));
  }

  /** Accepted submissions that are owed and have not been shown in their last state. */
  unfinished(): readonly string[] {
    return [...this.submissions.values()]
      .filter((record) => record.isOwed && !record.submission.steps[0]?.isPersistent)
      .filter((record) => record.lastState !== 'complete')
      .map(({ submission }) => submission.id);
  }

  noteUnfinished(nowMs: number): void {
    this.unfinished().forEach((id) => {
      this.#find(`${id} is ${this.submissions.get(id)?.lastState ?? 'unknown'} at the end`, nowMs);
    });
    this.lasting.waiting().forEach((name) => this.#find(`${name} waits at the end`, nowMs));
  }

  noteUnexpected(text: string, nowMs: number): void {
    this.#find(text, nowMs);
  }

  #checkOrder(
    submission: SoakSubmission,
    after: readonly number[],
    name: string,
    nowMs: number,
  ): void {
    const open = after
      .flatMap((stepIndex) => taskNames(submission, stepIndex))
      .filter((earlier) => !this.#ends.isDone(earlier));
    if (open.length > 0) this.#find(`${name}: starts before ${open[0]} is done`, nowMs);
  }

  #checkTimes(record: SubmissionRecord, lifeKey: string, name: string, nowMs: number): void {
    const isLate = (sinceMs: number | undefined, boundMs: number): boolean =>
      sinceMs !== undefined &&
      nowMs - sinceMs > boundMs &&
      !this.#faults.isCoreDisturbed(sinceMs - STABLE_MS, nowMs);
    if (isLate(record.cancelledAtMs, CANCEL_MS)) {
      this.#find(`${name}: starts ${nowMs - (record.cancelledAtMs ?? 0)} ms after cancel`, nowMs);
    }
    if (isLate(record.completeAtMs, LATE_START_MS)) {
      this.#find(`${name}: starts after complete was shown`, nowMs);
    }
    if (isLate(this.#drainingSinceMs.get(lifeKey), DRAIN_MS)) {
      this.#find(`${name}: starts on a worker that drains`, nowMs);
    }
  }

  #find(text: string, nowMs: number): void {
    this.findings.push(`${Math.round(nowMs)} ms: ${text}`);
  }
}
