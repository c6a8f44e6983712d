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

interface TrackedTask {
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
const REPORTED_USAGE_CHANGE_SHARE = 0.1;

/**
 * The maximum number of forgotten attempts that are kept while the owner names no revision. Beyond
 * it they are dropped, and the next report is a full one.
 */
const MAXIMUM_FORGOTTEN_COUNT = 1_000;

const keyOf = ({ taskId, attempt }: TaskAttempt): string => `${taskId}#${attempt}`;

const hasUsageChanged = (before: WorkerTaskReport, { usage, size }: WorkerTaskReport): boolean =>
  (['processorMillis', 'memoryBytes', 'acceleratorCount'] as const).some(
    (name) => Math.abs(usage[name] - before.usage[name]) > REPORTED_USAGE_CHANGE_SHARE * size[name],
  );

const isChanged = (before: WorkerTaskReport, now: WorkerTaskReport): boolean =>
  before.state !== now.state ||
  before.checkpoint !== now.checkpoint ||
  before.processorShare !== now.processorShare ||
  hasUsageChanged(before, now);

/** Tracks the revisions of a worker's tasks for one incarnation of the worker. */
export class RevisionedWorker {
  readonly #command: (command: WorkerCommand) => WorkerReport;

  #revision = 0;

  #highestEpoch = 0;

  /** The changes since earlier revisions are no longer completely known. */
  #oldestRevision = 0;

  readonly #tracked = new Map<string, TrackedTask>();

  readonly #forgotten = new Map<string, ForgottenTask>();

  /** `command` itself must refuse other incarnations and lower epochs, as every worker does. */
  constructor(command: (command: WorkerCommand) => WorkerReport) {
    this.#command = command;
  }

  command(command: ReceivedCommand): SentReport {
    const report = this.#command(this.#toFullCommand(command));
    this.#trackReport(report);
    const { knownRevision, cellEpoch, incarnation } = command;
    const isCurrent = cellEpoch >= this.#highestEpoch && incarnation === report.incarnation;
    this.#highestEpoch = Math.max(this.#highestEpoch, cellEpoch);
    const isKnown =
      knownRevision !== undefined &&
      knownRevision >= this.#oldestRevision &&
      knownRevision <= this.#revision;
    if (!isCurrent || !isKnown) return this.#toFullReport(report);
    this.#dropUpTo(knownRevision);
    return this.#toChanges(knownRevision, report.workerNowMs);
  }

  /** Expands the blanket renewal to the attempts that ran at the revision that the owner knows. */
  #toFullCommand({ knownRevision, blanketRenewal, ...command }: ReceivedCommand): WorkerCommand {
    if (blanketRenewal === undefined || knownRevision === undefined) return command;
    const { leaseUntilWorkerMs } = blanketRenewal;
    const except = new Set(blanketRenewal.except.map(keyOf));
    const renewed = [...this.#tracked.values()]
      .filter(
        ({ report, sinceRevision }) =>
          report.state === WorkerTaskState.Running &&
          sinceRevision <= knownRevision &&
          !except.has(keyOf(report)),
      )
      .map(({ report: { taskId, attempt } }) => ({ taskId, attempt, leaseUntilWorkerMs }));
    return { ...command, renewals: [...command.renewals, ...renewed] };
  }

  #trackReport({ tasks }: WorkerReport): void {
    const next = this.#revision + 1;
    const present = new Set<string>();
    tasks.forEach((report) => {
      const key = keyOf(report);
      const known = this.#tracked.get(key);
      present.add(key);
      if (known !== undefined && !isChanged(known.report, report)) return;
      const sinceRevision = known?.sinceRevision ?? next;
      this.#tracked.set(key, { report, sinceRevision, changedRevision: next });
      this.#revision = next;
    });
    this.#tracked.forEach(({ report: { taskId, attempt } }, key) => {
      if (present.has(key)) return;
      this.#tracked.delete(key);
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

  #toFullReport(report: WorkerReport): SentReport {
    report.tasks.forEach((task) => {
      const tracked = this.#tracked.get(keyOf(task));
      if (tracked !== undefined) this.#tracked.set(keyOf(task), { ...tracked, report: task });
    });
    return { ...report, revision: this.#revision };
  }

  #toChanges(baseRevision: number, workerNowMs: number): SentReport {
    const tasks = [...this.#tracked.values()]
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
