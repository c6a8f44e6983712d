/** A worker of a randomised run, with its own clock offset, restarts and failing tasks. */
import type { Resources } from '../../src/services/worker/common/resources.js';
import {
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
} from '../../src/services/worker/common/workerClient.js';
import { type WorkerEvent, WorkerStandIn } from '../../standIns/workers/workerStandIn.js';

/** Tasks of jobs whose id starts with this prefix fail on every worker. */
export const FAILING_JOB_PREFIX = 'kitchen.failing';

export class SoakWorker {
  readonly id: string;

  readonly zone: string;

  /** Whether the worker fails every task that it starts. */
  isBad = false;

  isCut = false;

  /** Test switch: the worker accepts commands for a previous incarnation. */
  ignoresIncarnation = false;

  /** The last time at which the worker was cut off or restarted. */
  faultedAtMs = Number.NEGATIVE_INFINITY;

  readonly #capacity: Resources;

  readonly #clockOffsetMs: number;

  readonly #onEvent: (event: WorkerEvent) => void;

  readonly #failedAttempts = new Set<string>();

  #standIn: WorkerStandIn;

  #incarnationCount = 0;

  constructor(
    id: string,
    zone: string,
    capacity: Resources,
    clockOffsetMs: number,
    onEvent: (event: WorkerEvent) => void,
  ) {
    this.id = id;
    this.zone = zone;
    this.#capacity = capacity;
    this.#clockOffsetMs = clockOffsetMs;
    this.#onEvent = onEvent;
    this.#standIn = this.#create();
  }

  restart(): void {
    this.#standIn.advance(Number.POSITIVE_INFINITY);
    this.#standIn = this.#create();
  }

  advance(nowMs: number): void {
    this.#standIn.advance(nowMs + this.#clockOffsetMs);
  }

  hasService(serviceName: string): boolean {
    return this.#standIn.hasService(serviceName);
  }

  command(command: WorkerCommand, nowMs: number): WorkerReport {
    const workerNowMs = nowMs + this.#clockOffsetMs;
    const received = this.ignoresIncarnation
      ? { ...command, incarnation: this.#standIn.incarnation }
      : command;
    const report = this.#standIn.command(received, workerNowMs);
    const failing = report.tasks.filter(
      (task) =>
        task.state === WorkerTaskState.Running &&
        (this.isBad || task.taskId.startsWith(FAILING_JOB_PREFIX)),
    );
    if (failing.length === 0) return this.#withFailures(report);
    failing.forEach(({ taskId, attempt }) => this.#failedAttempts.add(`${taskId}#${attempt}`));
    const evictions = failing.map(({ taskId, attempt }) => ({ taskId, attempt }));
    const stop = { ...command, renewals: [], starts: [], evictions, acknowledgements: [] };
    const current = { ...stop, incarnation: this.#standIn.incarnation };
    return this.#withFailures(this.#standIn.command(current, workerNowMs));
  }

  #withFailures(report: WorkerReport): WorkerReport {
    const tasks = report.tasks.map((task) =>
      this.#failedAttempts.has(`${task.taskId}#${task.attempt}`)
        ? { ...task, state: WorkerTaskState.Failed }
        : task,
    );
    return { ...report, tasks };
  }

  #create(): WorkerStandIn {
    this.#incarnationCount += 1;
    const incarnation = `${this.id}@${this.#incarnationCount}`;
    return new WorkerStandIn(this.id, incarnation, this.#capacity, this.#onEvent);
  }
}
