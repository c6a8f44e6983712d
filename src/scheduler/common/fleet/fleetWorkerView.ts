/** What the scheduler knows of one worker: its room, its runs, its clock and its leases. */
import type { FleetWorkerEntry, HoldAnswer } from '../../../services/fleet/common/fleetWorker.js';
import {
  addResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from '../../../services/worker/common/resources.js';
import { DrainNotice } from './drainNotice.js';
import { type FleetTiming, leaseWithinMs, longestLeaseMs } from './fleetTiming.js';
import type { ServiceLoad } from './serviceLoad.js';
import { countedSize, type TaskRecord, type TaskRun } from './taskRecords.js';

/** Incarnations of one worker that one owner tells apart; it would take hours to meet so many. */
const FENCES_PER_EPOCH = 1_000;

/** How far a worker's clock may run from real time. */
const CLOCK_DRIFT = 0.02;

export const runKey = (taskName: string, run: number): string => `${taskName}#${run}`;

export class FleetWorkerView {
  entry: FleetWorkerEntry;

  /** False once the table no longer lists the worker. */
  isListed = true;

  /**
   * Whether the last hold got no answer. Nothing is granted then: each grant may have been taken,
   * so that granting on would put off for ever the instant from which its leases are surely over.
   */
  isSilent = false;

  /** Whether it has answered a hold of this ownership, so that all its runs are known. */
  isHeard = false;

  incarnation: number;

  /** Ends up to this sequence have been taken in. */
  takenSequence = 0;

  /** Ends up to this sequence are recorded in the table. */
  recordedSequence = 0;

  isHoldInFlight = false;

  /** Ends up to this sequence are acknowledged by the call under way. */
  acknowledgingSequence = 0;

  /**
   * The process was told, before it was known to be another one, that ends of its predecessor are
   * recorded: it may forget its own under their numbers.
   */
  mayForgetEnds = false;

  nextHoldAtMs: number;

  lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  /** How often the fence of its calls was raised in this ownership. */
  #fenceRaises: number;

  /** Since when it is known that its process is another one. */
  #rebornAtMs = Number.NEGATIVE_INFINITY;

  /** Its process is another one, and no list made under the raised fence has come yet. */
  isReborn = false;

  /** When pacing of this worker's fillers was last changed. */
  pacedAtMs = Number.NEGATIVE_INFINITY;

  /** The loads of its serving tasks, by step; see `interferenceModel.ts`. */
  readonly loads = new Map<string, ServiceLoad>();

  /** Rises with every change of `runs` and of the room that is kept. */
  changeCount = 0;

  /** When the figures of its runs were last taken in. */
  sampledAtMs = Number.NEGATIVE_INFINITY;

  /** The `sampledAtMs` of the figures used by the last decision on the pace of its fillers. */
  pacingSampledAtMs = Number.NEGATIVE_INFINITY;

  /** Runs that the worker lists and nobody asked for any more, with unknown sizes. */
  strayCount = 0;

  readonly runs = new Map<string, TaskRun>();

  /** When, on this process's clock, every lease granted to the worker has surely ended. */
  leasesOverAtMs: number;

  readonly #drainNotice = new DrainNotice();

  #used: Resources = NO_RESOURCES;

  /** Room for tasks that are yet to be given to the worker. */
  #kept: Resources = NO_RESOURCES;

  readonly #keptTasks = new Set<TaskRecord>();

  /** What is left of the capacity that `#freeOf` tells; undefined after a change of the runs. */
  #free: Resources | undefined;

  #freeOf: Resources = NO_RESOURCES;

  #fillerProcessorMillis = 0;

  #workerClockMs = 0;

  #clockReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(entry: FleetWorkerEntry, leasesOverAtMs: number, nowMs: number, fenceRaises = 0) {
    this.entry = entry;
    this.#fenceRaises = fenceRaises;
    this.incarnation = entry.incarnation;
    this.leasesOverAtMs = leasesOverAtMs;
    this.nextHoldAtMs = nowMs;
  }

  get id(): string {
    return this.entry.id;
  }

  get fenceRaises(): number {
    return this.#fenceRaises;
  }

  get free(): Resources {
    const { capacity } = this.entry;
    if (this.#free === undefined || this.#freeOf !== capacity) {
      this.#free = subtractResources(subtractResources(capacity, this.#used), this.#kept);
      this.#freeOf = capacity;
    }
    return this.#free;
  }

  /** Processors that fillers on this worker would use if they could. */
  get fillerProcessorMillis(): number {
    return this.#fillerProcessorMillis;
  }

  get knowsClock(): boolean {
    return this.#clockReadAtMs > Number.NEGATIVE_INFINITY;
  }

  /**
   * Whether the entry in the table is of the process that answers. One that has started again under
   * its id may have another capacity, and other labels, than the entry of the former one.
   */
  get isEntryCurrent(): boolean {
    const isTold = this.entry.incarnation !== 0 && this.incarnation !== 0;
    return !isTold || this.entry.incarnation === this.incarnation;
  }

  /** Until when the worker surely goes on; undefined where that is not told. */
  get staysUntilMs(): number | undefined {
    return this.#drainNotice.staysUntilMs;
  }

  /** Takes in what the table lists of the worker, read no earlier than `readAtMs`. */
  noteEntry(entry: FleetWorkerEntry, timing: FleetTiming, readAtMs: number): void {
    this.entry = entry;
    this.#drainNotice.update(entry, timing.workerReportIntervalMs, readAtMs);
  }

  /** Tasks for which room is kept here until they start. */
  get keptTasks(): ReadonlySet<TaskRecord> {
    return this.#keptTasks;
  }

  hasRun(run: TaskRun): boolean {
    return this.runs.get(runKey(run.task.name, run.run)) === run;
  }

  addRun(run: TaskRun): void {
    this.runs.set(runKey(run.task.name, run.run), run);
    this.changeCount += 1;
    this.#used = addResources(this.#used, countedSize(run.task.step));
    this.#free = undefined;
    if (run.task.step.isFiller) {
      this.#fillerProcessorMillis += run.task.step.size.processorMillis;
    }
  }

  removeRun(run: TaskRun): void {
    if (!this.runs.delete(runKey(run.task.name, run.run))) return;
    this.changeCount += 1;
    this.#used = subtractResources(this.#used, countedSize(run.task.step));
    this.#free = undefined;
    if (run.task.step.isFiller) {
      this.#fillerProcessorMillis -= run.task.step.size.processorMillis;
    }
  }

  keepRoomFor(task: TaskRecord): void {
    this.#keptTasks.add(task);
    this.#noteKept(addResources(this.#kept, countedSize(task.step)));
  }

  giveRoomBack(task: TaskRecord): void {
    if (!this.#keptTasks.delete(task)) return;
    this.#noteKept(subtractResources(this.#kept, countedSize(task.step)));
  }

  #noteKept(kept: Resources): void {
    this.#kept = kept;
    this.changeCount += 1;
    this.#free = undefined;
  }

  /** A worker that has answered refuses former owners from then on, also what is under way. */
  boundFormerLeases(timing: FleetTiming, nowMs: number): void {
    const longestMs = longestLeaseMs(timing.maximumLeaseMs);
    this.leasesOverAtMs = Math.min(this.leasesOverAtMs, nowMs + longestMs);
  }

  /**
   * A process that was called by the clock of the former one may have taken leases that are as long
   * to its own clock as it takes any.
   */
  boundLeasesOfNewProcess(timing: FleetTiming, nowMs: number): void {
    const longestMs = longestLeaseMs(timing.workerLeaseLimitMs);
    this.leasesOverAtMs = Math.max(this.leasesOverAtMs, nowMs + longestMs);
  }

  noteAnswer(answer: HoldAnswer, nowMs: number): void {
    this.isHeard = true;
    this.isReborn = false;
    this.isSilent = false;
    this.lastAnswerAtMs = nowMs;
    this.#workerClockMs = answer.workerClockMs;
    this.#clockReadAtMs = nowMs;
  }

  /**
   * The fence of all calls to the worker. It rises with each incarnation: a process that has just
   * started has seen no fence, nor which runs were stopped, and would carry out a start that was
   * sent to the one before it and is still on its way.
   */
  fence(epoch: number): number {
    return epoch * FENCES_PER_EPOCH + this.#fenceRaises;
  }

  /** Whether a list asked for at `sentAtMs` was made after the fence had risen. */
  isFencedSince(sentAtMs: number): boolean {
    return sentAtMs >= this.#rebornAtMs;
  }

  /** The runs died with their process. */
  noteIncarnation(incarnation: number, nowMs: number): void {
    this.incarnation = incarnation;
    this.#fenceRaises += 1;
    this.#rebornAtMs = nowMs;
    this.isReborn = true;
    this.mayForgetEnds = this.acknowledgingSequence > 0;
    this.takenSequence = 0;
    this.recordedSequence = 0;
    this.strayCount = 0;
  }

  /**
   * The end of a lease granted now, on the worker's clock, that is over by `limitAtMs`; undefined
   * where that leaves none. The record of when it is surely over is kept before the grant is sent,
   * since a grant without an answer may have been taken.
   */
  grantLease(timing: FleetTiming, limitAtMs: number, nowMs: number): number | undefined {
    if (!this.knowsClock) return undefined;
    const ageMs = nowMs - this.#clockReadAtMs;
    const driftMs = ageMs * CLOCK_DRIFT;
    const leaseMs = Math.min(timing.maximumLeaseMs, leaseWithinMs(limitAtMs - nowMs) - driftMs);
    if (leaseMs <= 0) return undefined;
    this.leasesOverAtMs = Math.max(this.leasesOverAtMs, nowMs + longestLeaseMs(leaseMs + driftMs));
    return Math.floor(this.#workerClockMs + ageMs + leaseMs);
  }

  isFresh(timing: FleetTiming, nowMs: number): boolean {
    return this.isHeard && nowMs - this.lastAnswerAtMs <= timing.answerFreshnessMs;
  }
}
