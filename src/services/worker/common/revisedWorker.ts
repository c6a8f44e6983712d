/**
 * The worker's side of the worker exchange. It wraps a worker that accepts full commands and
 * returns full reports. It is kept next to the owner's side so that both change together. The
 * stand-ins use it, and the platform's workers may use it too.
 */
import {
  type TaskAttempt,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
  type WorkerTaskReport,
} from './workerClient.js';
import type { ReceivedCommand, SentReport } from './workerExchange.js';

interface NotedTask {
  /** The last report of the task that counted as a change. */
  readonly report: WorkerTaskReport;
  /** The first revision that contains the attempt. */
  readonly sinceRevision: number;
  /** The last revision that changed it. */
  readonly changedRevision: number;
}

interface ForgottenTask {
  readonly attempt: TaskAttempt;
  readonly revision: number;
}

/**
 * The minimum change of usage that is reported, as a share of the task's size. Usage varies a
 * little all the time and lags by seconds anyway. No decision based on it needs more precision than
 * a tenth of the size.
 */
const USAGE_SHARE = 0.1;

/**
 * The maximum number of forgotten attempts that are kept while the owner names no revision. Beyond
 * it they are dropped, and the next report is a full one.
 */
const MAXIMUM_FORGOTTEN_COUNT = 1_000;

const keyOf = ({ taskId, attempt }: TaskAttempt): string => `${taskId}#${attempt}`;

const hasMoved = (before: WorkerTaskReport, { usage, size }: WorkerTaskReport): boolean =>
  (['processorMillis', 'memoryBytes', 'acceleratorCount'] as const).some(
    (name) => Math.abs(usage[name] - before.usage[name]) > USAGE_SHARE * size[name],
  );

const isChanged = (before: WorkerTaskReport, now: WorkerTaskReport): boolean =>
  before.state !== now.state ||
  before.checkpoint !== now.checkpoint ||
  before.processorShare !== now.processorShare ||
  hasMoved(before, now);

/** Tracks the revisions of a worker's tasks for one incarnation of the worker. */
export class RevisedWorker {
  readonly #command: (command: WorkerCommand) => WorkerReport;

  #revision = 0;

  #highestEpoch = 0;

  /** The changes since earlier revisions are no longer completely known. */
  #oldestRevision = 0;

  readonly #noted = new Map<string, NotedTask>();

  readonly #forgotten = new Map<string, ForgottenTask>();

  /** `command` itself must refuse other incarnations and lower epochs, as every worker does. */
  constructor(command: (command: WorkerCommand) => WorkerReport) {
    this.#command = command;
  }

  command(command: ReceivedCommand): SentReport {
    const report = this.#command(this.#toWholeCommand(command));
    this.#note(report);
    const { knownRevision, cellEpoch, incarnation } = command;
    const isCurrent = cellEpoch >= this.#highestEpoch && incarnation === report.incarnation;
    this.#highestEpoch = Math.max(this.#highestEpoch, cellEpoch);
    const isKnown =
      knownRevision !== undefined &&
      knownRevision >= this.#oldestRevision &&
      knownRevision <= this.#revision;
    if (!isCurrent || !isKnown) return this.#toWholeReport(report);
    this.#dropUpTo(knownRevision);
    return this.#toChanges(knownRevision, report.workerNowMs);
  }

  /** Expands the blanket renewal to the attempts that ran at the revision that the owner knows. */
  #toWholeCommand({ knownRevision, blanketRenewal, ...command }: ReceivedCommand): WorkerCommand {
    if (blanketRenewal === undefined || knownRevision === undefined) return command;
    const { leaseUntilWorkerMs } = blanketRenewal;
    const except = new Set(blanketRenewal.except.map(keyOf));
    const renewed = [...this.#noted.values()]
      .filter(
        ({ report, sinceRevision }) =>
          report.state === WorkerTaskState.Running &&
          sinceRevision <= knownRevision &&
          !except.has(keyOf(report)),
      )
      .map(({ report: { taskId, attempt } }) => ({ taskId, attempt, leaseUntilWorkerMs }));
    return { ...command, renewals: [...command.renewals, ...renewed] };
  }

  #note({ tasks }: WorkerReport): void {
    const next = this.#revision + 1;
    const present = new Set<string>();
    tasks.forEach((report) => {
      const key = keyOf(report);
      const known = this.#noted.get(key);
      present.add(key);
      if (known !== undefined && !isChanged(known.report, report)) return;
      const sinceRevision = known?.sinceRevision ?? next;
      this.#noted.set(key, { report, sinceRevision, changedRevision: next });
      this.#revision = next;
    });
    this.#noted.forEach(({ report: { taskId, attempt } }, key) => {
      if (present.has(key)) return;
      this.#noted.delete(key);
      this.#forgotten.set(key, { attempt: { taskId, attempt }, revision: next });
      this.#revision = next;
    });
    if (this.#forgotten.size > MAXIMUM_FORGOTTEN_COUNT) this.#dropUpTo(this.#revision);
  }

  #dropUpTo(revision: number): void {
    this.#oldestRevision = Math.max(this.#oldestRevision, revision);
    this.#forgotten.forEach((forgotten, key) => {
      if (forgotten.revision <= revision) this.#forgotten.delete(key);
    });
  }

  #toWholeReport(report: WorkerReport): SentReport {
    report.tasks.forEach((task) => {
      const noted = this.#noted.get(keyOf(task));
      if (noted !== undefined) this.#noted.set(keyOf(task), { ...noted, report: task });
    });
    return { ...report, revision: this.#revision };
  }

  #toChanges(baseRevision: number, workerNowMs: number): SentReport {
    const tasks = [...this.#noted.values()]
      .filter(({ changedRevision }) => changedRevision > baseRevision)
      .map(({ report }) => report);
    const forgotten = [...this.#forgotten.values()].map(({ attempt }) => attempt);
    return {
      baseRevision,
      revision: this.#revision,
      workerNowMs,
      ...(tasks.length > 0 ? { tasks } : {}),
      ...(forgotten.length > 0 ? { forgotten } : {}),
    };
  }
}
