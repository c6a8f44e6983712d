/** Checks a randomised run against the workers' own records and the committed transactions. */
import {
  CHANGE_PREFIX,
  changeRowSchema,
  VERSION_KEY,
  versionRowSchema,
  ZONE_PREFIX,
  zoneDocumentSchema,
  ZoneState,
} from '../../src/services/configuration/common/documents.js';
import {
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../src/services/table/common/table.js';
import type { StartRequest, WorkerReport } from '../../src/services/worker/common/workerClient.js';
import { TaskClass, WorkerTaskState } from '../../src/services/worker/common/workerClient.js';
import { Judge, type Verdict } from '../../standIns/workers/judge.js';
import type { WorkerEvent } from '../../standIns/workers/workerStandIn.js';
import type { SoakWorker } from './soakWorker.js';

/** The longest time after a withdrawal in which tasks may start in, or requests go to, the zone. */
export const WITHDRAWAL_BOUND_MS = 3_000;

interface AttemptRecord {
  readonly worker: SoakWorker;
  readonly startedAtMs: number;
  readonly startProgressMs: number;
  evictedProgressMs: number | undefined;
}

const progressOf = (checkpoint: string | null): number =>
  checkpoint === null ? 0 : Number(checkpoint.split('@')[1]);

export class SoakJudge {
  /** One line per finding, with its time. */
  readonly findings: string[] = [];

  readonly withdrawnAtMs = new Map<string, number>();

  configurationVersion = 0;

  readonly #workers: Judge;

  readonly #attempts = new Map<string, AttemptRecord>();

  readonly #completions = new Map<string, { worker: SoakWorker; endedAtMs: number }>();

  readonly #acceptedPlans = new Map<string, number>();

  readonly #highestVersions = new Map<string, number>();

  readonly #notRunPlans = new Set<string>();

  constructor(zoneOf: ReadonlyMap<string, string>) {
    this.#workers = new Judge(zoneOf, WITHDRAWAL_BOUND_MS);
  }

  verdict(): Verdict {
    return this.#workers.verdict();
  }

  addFinding(text: string, nowMs: number): void {
    this.findings.push(`${Math.round(nowMs)} ms: ${text}`);
  }

  noteWorker(event: WorkerEvent, worker: SoakWorker, nowMs: number): void {
    this.#workers.note(event, nowMs);
    const isBatch = event.taskClass === TaskClass.Batch;
    if (event.kind !== 'ended' || event.state !== WorkerTaskState.Finished || !isBatch) return;
    const first = this.#completions.get(event.taskId);
    this.#completions.set(event.taskId, first ?? { worker, endedAtMs: nowMs });
    // The worker holds the only record of an end until it reports it. If the worker restarts or
    // loses its connections before that, the task runs again: seed 1 of `scheduler`, in which a
    // worker restarts 0.6 s after the end and before its next report.
    const isReported = first !== undefined && first.worker.faultedAtMs < first.endedAtMs;
    if (isReported && !first.worker.isCut)
      this.addFinding(`${event.taskId} was completed twice`, nowMs);
  }

  /** Records the starts that a worker carried out. `report` is its state after the command. */
  noteStarted(
    worker: SoakWorker,
    starts: readonly StartRequest[],
    report: WorkerReport,
    nowMs: number,
  ): void {
    starts
      .filter((start) => start.taskClass === 'batch')
      .forEach((start) => this.#noteAttempt(worker, start, nowMs));
    report.tasks
      .filter((task) => task.state === WorkerTaskState.Evicted)
      .forEach((task) => {
        const record = this.#attempts.get(`${task.taskId}#${task.attempt}`);
        if (record !== undefined) record.evictedProgressMs = progressOf(task.checkpoint);
      });
  }

  /**
   * Checks that an attempt starts only once, and that an attempt after an eviction resumes from the
   * checkpoint of that eviction.
   */
  #noteAttempt(worker: SoakWorker, start: StartRequest, nowMs: number): void {
    const key = `${start.taskId}#${start.attempt}`;
    if (this.#attempts.has(key)) this.addFinding(`attempt ${key} was started twice`, nowMs);
    const startProgressMs = progressOf(start.checkpoint);
    const record = { worker, startedAtMs: nowMs, startProgressMs, evictedProgressMs: undefined };
    this.#attempts.set(key, record);
    const previous = this.#attempts.get(`${start.taskId}#${start.attempt - 1}`);
    if (previous === undefined) return;
    if (startProgressMs < previous.startProgressMs) {
      this.addFinding(`${key} lost the checkpoint of the previous attempt`, nowMs);
    }
    // A worker that was cut off or restarted could not report its checkpoint.
    const isHandedOver = previous.worker.faultedAtMs < previous.startedAtMs;
    const isDifferent = startProgressMs !== previous.evictedProgressMs;
    if (previous.evictedProgressMs !== undefined && isHandedOver && isDifferent) {
      this.addFinding(`${key} did not resume from the checkpoint of its eviction`, nowMs);
    }
  }

  noteTransaction(transaction: Transaction, result: TransactionResult, nowMs: number): void {
    if (result.outcome !== TransactionOutcome.Committed) return;
    transaction.writes.forEach(({ key, value }) => {
      if (key === VERSION_KEY) this.#noteVersion(versionRowSchema.parse(value).version, nowMs);
      if (key.startsWith(CHANGE_PREFIX))
        this.#noteAccepted(changeRowSchema.parse(value).planId, nowMs);
      if (key.startsWith(ZONE_PREFIX)) {
        const { name, state } = zoneDocumentSchema.parse(value);
        const isWithdrawn = state === ZoneState.Withdrawn;
        this.#workers.markZone(name, isWithdrawn, nowMs);
        if (isWithdrawn) this.withdrawnAtMs.set(name, nowMs);
        else this.withdrawnAtMs.delete(name);
      }
    });
  }

  /** Records that an operator was told that the plan did not take effect. */
  noteNotRun(planId: string, nowMs: number): void {
    this.#notRunPlans.add(planId);
    if (this.#acceptedPlans.has(planId))
      this.addFinding('"not run", but the plan was accepted', nowMs);
  }

  /** Records that an operator was told that the plan is in force. */
  noteConfirmed(planId: string, nowMs: number): void {
    if (!this.#acceptedPlans.has(planId))
      this.addFinding('confirmed, but nothing was accepted', nowMs);
  }

  noteRouted(daemonId: string, zone: string, nowMs: number): void {
    const withdrawnAtMs = this.withdrawnAtMs.get(zone);
    if (withdrawnAtMs === undefined || nowMs - withdrawnAtMs <= WITHDRAWAL_BOUND_MS) return;
    this.addFinding(`${daemonId} sends new work to ${zone}, which was withdrawn`, nowMs);
  }

  noteInForce(daemonId: string, version: number, nowMs: number): void {
    const highest = this.#highestVersions.get(daemonId) ?? 0;
    if (version < highest)
      this.addFinding(`${daemonId} went back from ${highest} to ${version}`, nowMs);
    if (version > this.configurationVersion)
      this.addFinding(`${daemonId} is ahead of the table`, nowMs);
    this.#highestVersions.set(daemonId, Math.max(version, highest));
  }

  /** Returns all findings so far, including those from the workers' records. */
  allFindings(): readonly string[] {
    const verdict = this.verdict();
    const toLines = (label: string, items: readonly string[]): string[] =>
      items.length === 0 ? [] : [`${label}: ${items.join(', ')}`];
    return [
      ...this.findings,
      ...toLines('ran in two places', verdict.doubleRuns),
      ...toLines('overcommitted', verdict.overcommittedWorkers),
      ...(verdict.startsInWithdrawnZones > 0
        ? [`${verdict.startsInWithdrawnZones} starts in a withdrawn zone`]
        : []),
    ];
  }

  #noteVersion(version: number, nowMs: number): void {
    if (version !== this.configurationVersion + 1) {
      this.addFinding(`version ${this.configurationVersion} was followed by ${version}`, nowMs);
    }
    this.configurationVersion = version;
  }

  #noteAccepted(planId: string, nowMs: number): void {
    const count = (this.#acceptedPlans.get(planId) ?? 0) + 1;
    this.#acceptedPlans.set(planId, count);
    if (count > 1) this.addFinding('a plan was accepted twice', nowMs);
    if (this.#notRunPlans.has(planId))
      this.addFinding('"not run", but the plan took effect', nowMs);
  }
}
