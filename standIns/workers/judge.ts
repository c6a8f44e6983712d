/** Checks the events that workers record for violations of the scheduler's invariants. */
import { TaskClass, WorkerTaskState } from '../../src/services/worker/common/workerClient.js';
import type { WorkerEvent } from './workerStandIn.js';

export interface Verdict {
  readonly startCount: number;
  /** Tasks that restarted from less work than they had saved. */
  readonly lostCheckpoints: readonly string[];
  /** Tasks that ran in two places at once. */
  readonly doubleRuns: readonly string[];
  /** Batch tasks that were completed more than once. */
  readonly doubleCompletions: readonly string[];
  readonly completedBatchCount: number;
  readonly overcommittedWorkers: readonly string[];
  readonly evictionCount: number;
  readonly lapsedCount: number;
  /** Starts in availability zones that had been marked as withdrawn for longer than the bound. */
  readonly startsInWithdrawnZones: number;
}

/** Returns the violated invariants, each with where it was violated. */
export const findInvariantViolations = (verdict: Verdict): string[] => {
  const checks: readonly [string, string][] = [
    ['tasks in two places', verdict.doubleRuns.join(' ')],
    ['tasks completed twice', verdict.doubleCompletions.join(' ')],
    ['overcommitted workers', verdict.overcommittedWorkers.join(' ')],
    ['starts in a withdrawn zone', String(verdict.startsInWithdrawnZones || '')],
  ];
  return checks.filter(([, what]) => what !== '').map(([name, what]) => `${name}: ${what}`);
};

export class Judge {
  readonly #runningOn = new Map<string, string>();

  readonly #completions = new Map<string, number>();

  readonly #doubleRuns = new Set<string>();

  readonly #savedMs = new Map<string, number>();

  readonly #lostCheckpoints = new Set<string>();

  readonly #overcommitted = new Set<string>();

  readonly #zoneOf: ReadonlyMap<string, string>;

  readonly #withdrawnAtMs = new Map<string, number>();

  readonly #boundMs: number;

  readonly #counts = { startCount: 0, evictionCount: 0, lapsedCount: 0, startsInWithdrawnZones: 0 };

  /** A zone counts as withdrawn from `boundMs` after it was marked as withdrawn. */
  constructor(zoneOf: ReadonlyMap<string, string>, boundMs: number) {
    this.#zoneOf = zoneOf;
    this.#boundMs = boundMs;
  }

  markZone(zone: string, isWithdrawn: boolean, nowMs: number): void {
    if (isWithdrawn) this.#withdrawnAtMs.set(zone, nowMs);
    else this.#withdrawnAtMs.delete(zone);
  }

  note(event: WorkerEvent, nowMs: number): void {
    if (event.kind === 'overcommitted') this.#overcommitted.add(event.workerId);
    if (event.kind === 'started') this.#noteStart(event, nowMs);
    if (event.kind === 'ended') this.#noteEnd(event);
  }

  verdict(): Verdict {
    const completions = [...this.#completions];
    return {
      ...this.#counts,
      lostCheckpoints: [...this.#lostCheckpoints],
      doubleRuns: [...this.#doubleRuns],
      doubleCompletions: completions.filter(([, count]) => count > 1).map(([taskId]) => taskId),
      completedBatchCount: completions.length,
      overcommittedWorkers: [...this.#overcommitted],
    };
  }

  #noteStart(event: WorkerEvent, nowMs: number): void {
    this.#counts.startCount += 1;
    if (this.#runningOn.has(event.taskId)) this.#doubleRuns.add(event.taskId);
    this.#runningOn.set(event.taskId, event.workerId);
    const savedMs = this.#savedMs.get(event.taskId) ?? 0;
    if (event.savedMs < savedMs) this.#lostCheckpoints.add(event.taskId);
    const zone = this.#zoneOf.get(event.workerId) ?? '';
    const lateMs = nowMs - (this.#withdrawnAtMs.get(zone) ?? nowMs);
    if (lateMs > this.#boundMs) this.#counts.startsInWithdrawnZones += 1;
  }

  #noteEnd(event: WorkerEvent): void {
    const isWhereItRan = this.#runningOn.get(event.taskId) === event.workerId;
    if (isWhereItRan) this.#runningOn.delete(event.taskId);
    this.#savedMs.set(event.taskId, event.savedMs);
    if (event.state === WorkerTaskState.Evicted) this.#counts.evictionCount += 1;
    if (event.state === WorkerTaskState.Lapsed) this.#counts.lapsedCount += 1;
    if (event.state === WorkerTaskState.Finished && event.taskClass === TaskClass.Batch) {
      this.#completions.set(event.taskId, (this.#completions.get(event.taskId) ?? 0) + 1);
    }
  }
}
