/** The scheduler's view of one worker: its free capacity, runs, clock and leases. */
import type {
  FleetWorkerEntry,
  HoldAnswer,
  RunReference,
} from '../../../services/fleet/common/fleetWorker.js';
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

/** How often one owner can raise a worker's fence. So many restarts would take hours. */
const FENCES_PER_EPOCH = 1_000;

/** The rate at which a worker's clock may deviate from real time. */
const CLOCK_DRIFT = 0.02;

export const runKey = (taskName: string, run: number): string => `${taskName}#${run}`;

export class FleetWorkerView {
  entry: FleetWorkerEntry;

  /** False if the table no longer lists the worker. */
  isListed = true;

  /**
   * Whether the last hold got no answer. Such a worker gets no new leases: it may have accepted
   * each of them, so further grants would postpone the certain end of its leases again and again.
   */
  isSilent = false;

  /** Whether the worker has answered a hold of this owner, so that all its runs are known. */
  hasAnswered = false;

  incarnation: number;

  /** Ends up to this sequence number have been handled. */
  handledSequence = 0;

  /** Ends up to this sequence number are recorded in the table. */
  recordedSequence = 0;

  isHoldInFlight = false;

  /** The process has answered that it may forget ends up to this sequence number. */
  acknowledgedSequence = 0;

  nextHoldAtMs: number;

  lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  /** How often the fence of the worker's calls was raised in this epoch. */
  #fenceRaises: number;

  /** When the owner found that the worker's process had been replaced. */
  #newProcessSinceMs = Number.NEGATIVE_INFINITY;

  /** Whether the process was replaced and has not yet answered under the raised fence. */
  isNewProcess = false;

  /** When the pace of this worker's fillers was last changed. */
  pacedAtMs = Number.NEGATIVE_INFINITY;

  /** The loads of the worker's serving tasks by step; see `interferenceModel.ts`. */
  readonly loads = new Map<string, ServiceLoad>();

  /** Increases with every change of `runs` and of the reservations. */
  changeCount = 0;

  /** When the load figures of the worker's runs were last sampled. */
  sampledAtMs = Number.NEGATIVE_INFINITY;

  /** The `sampledAtMs` of the figures behind the last decision on the pace of its fillers. */
  pacingSampledAtMs = Number.NEGATIVE_INFINITY;

  /** The number of listed runs that the owner does not know. Their sizes are unknown. */
  unknownRunCount = 0;

  readonly runs = new Map<string, TaskRun>();

  /**
   * The instant on this process's clock from which all leases of the worker have certainly ended.
   */
  leasesOverAtMs: number;

  readonly #drainNotice = new DrainNotice();

  #used: Resources = NO_RESOURCES;

  /** Room that is reserved for tasks that are not yet assigned to the worker. */
  #reserved: Resources = NO_RESOURCES;

  readonly #reservedTasks = new Set<TaskRecord>();

  /**
   * The cached free part of `#freeForCapacity`. It is undefined after runs or reservations change.
   */
  #free: Resources | undefined;

  #freeForCapacity: Resources = NO_RESOURCES;

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
    if (this.#free === undefined || this.#freeForCapacity !== capacity) {
      this.#free = subtractResources(subtractResources(capacity, this.#used), this.#reserved);
      this.#freeForCapacity = capacity;
    }
    return this.#free;
  }

  /** The processors that the fillers on this worker would use without pacing. */
  get fillerProcessorMillis(): number {
    return this.#fillerProcessorMillis;
  }

  get knowsClock(): boolean {
    return this.#clockReadAtMs > Number.NEGATIVE_INFINITY;
  }

  /**
   * Whether the table's entry was written by the process that answers. A process that restarted
   * under the same id may have a different capacity and different labels.
   */
  get isEntryCurrent(): boolean {
    const areBothKnown = this.entry.incarnation !== 0 && this.incarnation !== 0;
    return !areBothKnown || this.entry.incarnation === this.incarnation;
  }

  /** The instant until which the worker is certain to stay; undefined if it announced none. */
  get staysUntilMs(): number | undefined {
    return this.#drainNotice.staysUntilMs;
  }

  /** Updates the worker's entry from the table, which was read no earlier than `readAtMs`. */
  noteEntry(entry: FleetWorkerEntry, timing: FleetTiming, readAtMs: number): void {
    this.entry = entry;
    this.#drainNotice.update(entry, timing.workerReportIntervalMs, readAtMs);
  }

  /** Tasks for which room is reserved here until they start. */
  get reservedTasks(): ReadonlySet<TaskRecord> {
    return this.#reservedTasks;
  }

  findRun({ taskName, run }: Pick<RunReference, 'taskName' | 'run'>): TaskRun | undefined {
    return this.runs.get(runKey(taskName, run));
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

  reserveRoom(task: TaskRecord): void {
    this.#reservedTasks.add(task);
    this.#setReserved(addResources(this.#reserved, countedSize(task.step)));
  }

  releaseRoom(task: TaskRecord): void {
    if (!this.#reservedTasks.delete(task)) return;
    this.#setReserved(subtractResources(this.#reserved, countedSize(task.step)));
  }

  #setReserved(reserved: Resources): void {
    this.#reserved = reserved;
    this.changeCount += 1;
    this.#free = undefined;
  }

  /**
   * Limits former owners' leases. A worker that has answered refuses even their calls in flight.
   */
  boundFormerLeases(timing: FleetTiming, nowMs: number): void {
    const longestMs = longestLeaseMs(timing.maximumLeaseMs);
    this.leasesOverAtMs = Math.min(this.leasesOverAtMs, nowMs + longestMs);
  }

  /**
   * Extends the known end of the leases after the process was replaced. Lease ends were computed
   * for the former process's clock, so the new process may hold leases up to the longest it
   * accepts.
   */
  boundLeasesOfNewProcess(timing: FleetTiming, nowMs: number): void {
    const longestMs = longestLeaseMs(timing.workerLeaseLimitMs);
    this.leasesOverAtMs = Math.max(this.leasesOverAtMs, nowMs + longestMs);
  }

  noteAnswer(answer: HoldAnswer, nowMs: number): void {
    this.hasAnswered = true;
    this.isNewProcess = false;
    this.isSilent = false;
    this.lastAnswerAtMs = nowMs;
    this.#workerClockMs = answer.workerClockMs;
    this.#clockReadAtMs = nowMs;
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, answer.acknowledgedSequence);
  }

  /**
   * The fence of all calls to the worker. It rises with each incarnation. A process that has just
   * started has seen no fence and no stops, so it would execute a start that was sent to the former
   * process and is still in flight.
   */
  fence(epoch: number): number {
    return epoch * FENCES_PER_EPOCH + this.#fenceRaises;
  }

  /** Whether a call that was sent at `sentAtMs` carried the current fence. */
  isFencedSince(sentAtMs: number): boolean {
    return sentAtMs >= this.#newProcessSinceMs;
  }

  /** Records that a new process answers for the worker. The former process's runs have ended. */
  noteIncarnation(incarnation: number, nowMs: number): void {
    this.incarnation = incarnation;
    this.#fenceRaises += 1;
    this.#newProcessSinceMs = nowMs;
    this.isNewProcess = true;
    this.handledSequence = 0;
    this.recordedSequence = 0;
    this.acknowledgedSequence = 0;
    this.unknownRunCount = 0;
  }

  /**
   * Grants a lease that ends by `limitAtMs`. Returns its end on the worker's clock, or undefined if
   * the limit leaves no time for one. `leasesOverAtMs` is updated before the grant is sent, because
   * the worker may accept a grant whose answer is lost.
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
    return this.hasAnswered && nowMs - this.lastAnswerAtMs <= timing.answerFreshnessMs;
  }
}
