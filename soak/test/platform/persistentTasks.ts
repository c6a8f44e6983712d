/** Tracks how long persistent tasks wait to run again. */
import type { FaultWindows } from './faultWindows.js';
import { type SoakSubmission, type TaskSize, taskNames } from './soakTypes.js';
import type { WorkerTracker } from './workerTracker.js';

export const LONGEST_WAIT_MS = 9_000;
/** The calm period that is required before the period of `ROOM_MS`, which must be calm as well. */
const CALM_BEFORE_MS = 4_000;
/** A wait is too long only if a worker has had room for the task for this time. */
const ROOM_MS = 3_000;

interface Wait {
  readonly size: TaskSize;
  readonly sinceMs: number;
  roomSinceMs: number | undefined;
  isReported: boolean;
}

export class PersistentTasks {
  readonly #faults: FaultWindows;

  readonly #workers: WorkerTracker;

  readonly #sizes = new Map<string, TaskSize>();

  readonly #waits = new Map<string, Wait>();

  /** The longest wait that ended with a start, including waits that a fault excuses. */
  longestWaitMs = 0;

  constructor(faults: FaultWindows, workers: WorkerTracker) {
    this.#faults = faults;
    this.#workers = workers;
  }

  noteAccepted(submission: SoakSubmission, nowMs: number): void {
    submission.steps.forEach(({ isPersistent, size }, stepIndex) => {
      if (!isPersistent) return;
      taskNames(submission, stepIndex).forEach((name) => {
        this.#sizes.set(name, size);
        if (this.#workers.incarnationsRunning(name).length === 0)
          this.#startWait(name, size, nowMs);
      });
    });
  }

  noteCancelSent(id: string): void {
    [...this.#sizes.keys()]
      .filter((name) => name.startsWith(`${id}.`))
      .forEach((name) => {
        this.#sizes.delete(name);
        this.#waits.delete(name);
      });
  }

  noteStart(taskName: string, nowMs: number): void {
    const wait = this.#waits.get(taskName);
    if (wait === undefined) return;
    this.longestWaitMs = Math.max(this.longestWaitMs, nowMs - wait.sinceMs);
    this.#waits.delete(taskName);
  }

  noteEnd(taskName: string, nowMs: number): void {
    const size = this.#sizes.get(taskName);
    if (size !== undefined) this.#startWait(taskName, size, nowMs);
  }

  waiting(): readonly string[] {
    return [...this.#waits.keys()];
  }

  /** Returns a finding for each wait that is now too long. Each wait is reported once. */
  advance(nowMs: number): readonly string[] {
    return [...this.#waits].flatMap(([name, wait]) => {
      const hasRoom = this.#workers.hasRoom(wait.size);
      Object.assign(wait, { roomSinceMs: hasRoom ? (wait.roomSinceMs ?? nowMs) : undefined });
      if (wait.isReported || !this.#isTooLong(wait, nowMs)) return [];
      Object.assign(wait, { isReported: true });
      return [`${name} is persistent and waits for ${Math.round(nowMs - wait.sinceMs)} ms`];
    });
  }

  #startWait(name: string, size: TaskSize, nowMs: number): void {
    this.#waits.set(name, { size, sinceMs: nowMs, roomSinceMs: undefined, isReported: false });
  }

  #isTooLong({ sinceMs, roomSinceMs }: Wait, nowMs: number): boolean {
    if (nowMs - sinceMs <= LONGEST_WAIT_MS) return false;
    if (nowMs - (roomSinceMs ?? nowMs) < ROOM_MS) return false;
    return this.#faults.isCalm(nowMs - ROOM_MS - CALM_BEFORE_MS, nowMs);
  }
}
