/** Observes the workers directly and records a sentence for each violated invariant. */
import { type FinishedRun, RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import type { Progress } from '../../../services/submissions/common/submissionRows.js';
import { EndRecords } from '../../../../standIns/fleet/endRecords.js';
import type { WorkerModel } from '../../../../standIns/fleet/workerModel.js';
import { parseTaskName } from '../../common/fleet/taskRecords.js';
import { WORKER_CAPACITY } from './fleetFixtures.js';

export class InvariantChecker {
  readonly broken: string[] = [];

  readonly startCounts = new Map<string, number>();

  readonly #ends = new EndRecords();

  readonly #lastStartAtMs = new Map<string, number>();

  readonly #submissions: ReadonlyMap<string, Submission>;

  readonly #progressOf: (id: string) => Progress | undefined;

  constructor(
    submissions: ReadonlyMap<string, Submission>,
    progressOf: (id: string) => Progress | undefined,
  ) {
    this.#submissions = submissions;
    this.#progressOf = progressOf;
  }

  /** Records that a worker has started a run. */
  noteStart(workerId: string, taskName: string, run: number, nowMs: number): void {
    this.startCounts.set(taskName, (this.startCounts.get(taskName) ?? 0) + 1);
    const address = parseTaskName(taskName);
    const submission = address === undefined ? undefined : this.#submissions.get(address.id);
    const step = submission?.steps[address?.stepIndex ?? -1];
    const description = `${taskName} run ${run} on ${workerId} at ${nowMs}`;
    if (address === undefined || step === undefined) {
      this.broken.push(`${description}: nobody asked for it`);
      return;
    }
    const progress = this.#progressOf(address.id);
    const position = submission?.steps
      .slice(0, address.stepIndex)
      .reduce((sum, { taskCount }) => sum + taskCount, address.index);
    if (
      !step.isPersistent &&
      position !== undefined &&
      progress?.done.includes(position) === true
    ) {
      this.broken.push(`${description}: started after its end was recorded`);
    }
    if (progress?.state === 'complete')
      this.broken.push(`${description}: started after it was complete`);
    if (this.#ends.acknowledgedCount(taskName) > 0) {
      this.broken.push(`${description}: started after its end was acknowledged`);
    }
    this.#lastStartAtMs.set(taskName, nowMs);
  }

  /** Records that a run has ended; `processKey` identifies the process of the worker. */
  noteEnd(processKey: string, { taskName, sequence, end }: FinishedRun, endedAtMs: number): void {
    if (end !== RunEnd.Done) return;
    this.#ends.noteEnd(processKey, taskName, endedAtMs);
    this.#ends.noteListed(processKey, sequence, taskName);
  }

  /** Ends from before a lapse of the lease need not be recorded: their tasks may run once more. */
  noteLapse(processKey: string): void {
    this.#ends.noteLeaseLapsed(processKey);
  }

  noteAcknowledged(processKey: string, sequence: number, nowMs: number): void {
    this.#ends.acknowledge(processKey, sequence).forEach(({ taskName, endedAtMs }) => {
      if ((this.#lastStartAtMs.get(taskName) ?? 0) <= endedAtMs) return;
      this.broken.push(`${taskName} at ${nowMs}: started after the end that is acknowledged now`);
    });
  }

  /** Checks that no task runs twice and that no worker exceeds its capacity. */
  checkRunningTasks(workers: Iterable<WorkerModel>, nowMs: number): void {
    const workerIdByTask = new Map<string, string>();
    [...workers].forEach((worker) => {
      if (!worker.isUp) return;
      let usedProcessorMillis = 0;
      worker.runs.forEach(({ taskName }) => {
        const otherWorkerId = workerIdByTask.get(taskName);
        if (otherWorkerId !== undefined) {
          this.broken.push(`${taskName} on ${otherWorkerId} and ${worker.id} at ${nowMs}`);
        }
        workerIdByTask.set(taskName, worker.id);
        const address = parseTaskName(taskName);
        const steps = this.#submissions.get(address?.id ?? '')?.steps;
        usedProcessorMillis += steps?.[address?.stepIndex ?? -1]?.size.processorMillis ?? 0;
      });
      if (usedProcessorMillis > WORKER_CAPACITY.processorMillis) {
        this.broken.push(`${worker.id} over its capacity at ${nowMs}`);
      }
    });
  }
}
