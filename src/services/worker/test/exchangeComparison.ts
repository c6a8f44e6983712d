/**
 * Compares two workers that receive the same commands: one as full lists, one through the short
 * messages of the exchange. Even if messages are lost or delayed, both must end up with the same
 * tasks and leases, and the owner's reports must match.
 */
import { SeededRandom } from '../../../base/common/random.js';
import { WorkerStandIn } from '../../../../standIns/workers/workerStandIn.js';
import { ReportMirror, type SentCommand } from '../common/reportMirror.js';
import { RevisionedWorker } from '../common/revisionedWorker.js';
import {
  type StartRequest,
  TaskClass,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
} from '../common/workerClient.js';
import { wireCommandSchema, wireReportSchema } from '../common/workerExchange.js';

const CAPACITY = { processorMillis: 32_000, memoryBytes: 1_000_000, acceleratorCount: 0 };
export const SIZE = { processorMillis: 100, memoryBytes: 100, acceleratorCount: 0 };
export const LEASE_MS = 900;
const LONG_WORK_MS = 4_000;

export const startOf = (taskId: string, nowMs: number, workMs = LONG_WORK_MS): StartRequest => ({
  taskId,
  attempt: 1,
  taskClass: TaskClass.Batch,
  serviceName: '',
  size: SIZE,
  workMs,
  checkpoint: null,
  startBeforeWorkerMs: nowMs + 300,
  leaseUntilWorkerMs: nowMs + LEASE_MS,
});

export const commandOf = (fields: Partial<WorkerCommand>): WorkerCommand => ({
  incarnation: 'w@1',
  cellEpoch: 1,
  renewals: [],
  starts: [],
  evictions: [],
  throttles: [],
  acknowledgements: [],
  ...fields,
});

/** The tasks of a report by attempt, without leases, which are outdated in reports of changes. */
export const statesOf = (report: WorkerReport | undefined): Readonly<Record<string, string>> =>
  Object.fromEntries(
    (report?.tasks ?? []).map((task) => [
      `${task.taskId}#${task.attempt}`,
      `${task.state} ${task.checkpoint}`,
    ]),
  );

/** Serializes a message and parses it with the schema, as both ends of a connection do. */
const overTheWire = <Parsed>(schema: { parse(value: unknown): Parsed }, value: unknown): Parsed =>
  schema.parse(JSON.parse(JSON.stringify(value)));

interface Message {
  readonly sent: SentCommand;
  readonly command: WorkerCommand;
}

interface Owner {
  readonly cellEpoch: number;
  readonly mirror: ReportMirror;
  /** The last report that reached the owner; its commands are based on it. */
  report: WorkerReport | undefined;
}

export class ExchangeComparison {
  nowMs = 0;

  listWorker = new WorkerStandIn('w', 'w@1', CAPACITY, () => undefined);

  wireWorker = new WorkerStandIn('w', 'w@1', CAPACITY, () => undefined);

  readonly messageBytes: number[] = [];

  #revisionedWorker = this.#createRevisionedWorker();

  #incarnationCount = 1;

  restart(): void {
    this.#incarnationCount += 1;
    const incarnation = `w@${this.#incarnationCount}`;
    this.listWorker = new WorkerStandIn('w', incarnation, CAPACITY, () => undefined);
    this.wireWorker = new WorkerStandIn('w', incarnation, CAPACITY, () => undefined);
    this.#revisionedWorker = this.#createRevisionedWorker();
  }

  /** Delivers a message to both workers; returns a function that decodes the answer. */
  deliver(mirror: ReportMirror, { sent, command }: Message): () => WorkerReport | undefined {
    this.listWorker.command(command, this.nowMs);
    const received = overTheWire(wireCommandSchema, sent.message);
    const answer = this.#revisionedWorker.command(received);
    this.messageBytes.push(JSON.stringify(sent.message).length + JSON.stringify(answer).length);
    return () => mirror.toReport(sent, overTheWire(wireReportSchema, answer));
  }

  /** Makes a call whose answer arrives immediately. */
  call(mirror: ReportMirror, command: WorkerCommand): WorkerReport | undefined {
    return this.deliver(mirror, { sent: mirror.toMessage(command), command })();
  }

  /** Lists a worker's tasks, with the leases of running ones, because ended ones have none. */
  static tasksAt(worker: WorkerStandIn, nowMs: number): readonly unknown[] {
    const { tasks } = worker.report(nowMs);
    return tasks.map(({ taskId, attempt, state, checkpoint, leaseUntilWorkerMs }) =>
      [
        taskId,
        attempt,
        state,
        checkpoint,
        state === WorkerTaskState.Running ? leaseUntilWorkerMs : '',
      ].join(' '),
    );
  }

  #createRevisionedWorker(): RevisionedWorker {
    return new RevisionedWorker((command) => this.wireWorker.command(command, this.nowMs));
  }
}

/** Successive and sometimes concurrent owners that send random commands under random faults. */
export class RandomOwners {
  readonly comparison = new ExchangeComparison();

  readonly #random: SeededRandom;

  readonly #delayedMessages: { readonly mirror: ReportMirror; readonly message: Message }[] = [];

  readonly #delayedAnswers: (() => void)[] = [];

  #owner: Owner = { cellEpoch: 1, mirror: new ReportMirror(), report: undefined };

  #formerOwner: Owner | undefined;

  #taskCount = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
  }

  /** Runs one step; returns a description of the first difference, or an empty string. */
  step(): string {
    this.comparison.nowMs += 20 + this.#random.nextIndex(120);
    const choice = this.#random.nextFraction();
    if (choice < 0.02) this.comparison.restart();
    else if (choice < 0.06) this.#takeOver();
    else if (choice < 0.1) this.#deliverDelayed();
    else if (choice < 0.14) this.#delayedAnswers.shift()?.();
    const owner = this.#formerOwner !== undefined && choice > 0.9 ? this.#formerOwner : this.#owner;
    return this.#exchange(owner) || this.#difference();
  }

  #exchange(owner: Owner): string {
    const command = this.#nextCommand(owner);
    const message = { sent: owner.mirror.toMessage(command), command };
    const draw = this.#random.nextFraction();
    if (draw < 0.06) {
      this.#delayedMessages.push({ mirror: owner.mirror, message });
      return '';
    }
    const toReport = this.comparison.deliver(owner.mirror, message);
    if (draw < 0.14) return '';
    if (draw < 0.2) {
      this.#delayedAnswers.push(() => RandomOwners.#storeReport(owner, toReport()));
      return '';
    }
    const expected = this.comparison.listWorker.report(this.comparison.nowMs);
    const report = toReport();
    RandomOwners.#storeReport(owner, report);
    if (report === undefined) return '';
    const reported = JSON.stringify(statesOf(report));
    const latestMs = Math.max(...expected.tasks.map((task) => task.leaseUntilWorkerMs), 0);
    const boundMs = report.latestLeaseUntilWorkerMs ?? 0;
    // The bound of a former owner is not checked: it covers only leases of its own epoch.
    if (owner === this.#owner && boundMs < latestMs) return `bound ${boundMs} below ${latestMs}`;
    return reported === JSON.stringify(statesOf(expected)) ? '' : `reported ${reported}`;
  }

  #difference(): string {
    const { listWorker, wireWorker, nowMs } = this.comparison;
    const byList = JSON.stringify(ExchangeComparison.tasksAt(listWorker, nowMs));
    const byWire = JSON.stringify(ExchangeComparison.tasksAt(wireWorker, nowMs));
    return byList === byWire ? '' : `by list ${byList}, by wire ${byWire}`;
  }

  #takeOver(): void {
    this.#formerOwner = this.#owner;
    const cellEpoch = this.#owner.cellEpoch + 1;
    this.#owner = { cellEpoch, mirror: new ReportMirror(), report: undefined };
  }

  #deliverDelayed(): void {
    const delayed = this.#delayedMessages.shift();
    if (delayed !== undefined) this.comparison.deliver(delayed.mirror, delayed.message);
  }

  /**
   * Renews some running tasks, as an owner does while a transaction takes others off the worker.
   */
  #nextCommand({ report, cellEpoch }: Owner): WorkerCommand {
    if (report === undefined) return commandOf({ incarnation: '', cellEpoch });
    const { incarnation, workerNowMs, tasks } = report;
    const running = tasks.filter(({ state }) => state === WorkerTaskState.Running);
    const ended = tasks.filter(({ state }) => state !== WorkerTaskState.Running);
    const pick = <Item>(items: readonly Item[], share: number): Item[] =>
      items.filter(() => this.#random.nextFraction() < share);
    const toAttempt = ({ taskId, attempt }: { taskId: string; attempt: number }) => ({
      taskId,
      attempt,
    });
    const starts = Array.from({ length: this.#random.nextIndex(3) }, () => {
      this.#taskCount += 1;
      return startOf(`t${this.#taskCount}`, workerNowMs, 300 + this.#random.nextIndex(4_000));
    });
    return commandOf({
      incarnation,
      cellEpoch,
      renewals: pick(running, this.#random.nextFraction() < 0.5 ? 1 : 0.7).map((task) => ({
        ...toAttempt(task),
        leaseUntilWorkerMs: workerNowMs + LEASE_MS,
      })),
      evictions: pick(running, 0.1).map(toAttempt),
      acknowledgements: pick(ended, 0.6).map(toAttempt),
      starts,
    });
  }

  static #storeReport(into: Owner, report: WorkerReport | undefined): void {
    if (report !== undefined) Object.assign(into, { report });
  }
}
