/**
 * Simulates one cell of the design size in virtual time: one daemon's state machine, stand-ins for
 * the table and 123 workers, and arrivals drawn from a seed. Only the processor time of `decide`
 * is real time; it is comparable between the write modes of one benchmark run.
 */
import { SeededRandom } from '../../src/base/common/random.js';
import {
  serviceKey,
  type Urgency,
  VERSION_KEY,
  zoneKey,
} from '../../src/services/configuration/common/documents.js';
import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import { nextInboxValue } from '../../src/services/workload/common/inbox.js';
import {
  cellInboxKey,
  workKey,
  workPrefix,
  type WorkRow,
} from '../../src/services/workload/common/workRows.js';
import type { WorkerCommand, WorkerReport } from '../../src/services/worker/common/workerClient.js';
import { ReportMirror } from '../../src/services/worker/common/reportMirror.js';
import { RevisionedWorker } from '../../src/services/worker/common/revisionedWorker.js';
import {
  wireCommandSchema,
  wireReportSchema,
} from '../../src/services/worker/common/workerExchange.js';
import type { CellTiming } from '../../src/scheduler/common/cellState.js';
import type { PlacementPolicy } from '../../src/scheduler/common/placement.js';
import { TableStandIn } from '../../standIns/platform/tableStandIn.js';
import { WorkerStandIn } from '../../standIns/workers/workerStandIn.js';
import { CellDriver } from './cellDriver.js';

const CELL = 'zone-a';
const GIBIBYTE = 1024 ** 3;
const RACK_SIZE = 8;
const FILL_FACTOR = 3;
const LONG_WORK_MS = 600_000;

export interface CellRunOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly serviceTaskCount: number;
  readonly startsPerSecond: number;
  readonly batchWorkMs: number;
  /** One job in this many is urgent. */
  readonly urgentEvery: number;
  /** The initial phase in which tasks arrive three times as fast and outlast the run. */
  readonly fillMs: number;
  readonly timing: CellTiming;
  readonly policy: PlacementPolicy;
}

export interface CellRunFigures {
  readonly transactionsPerSecond: number;
  readonly rowsPerSecond: number;
  readonly readRowsPerSecond: number;
  readonly startsPerSecond: number;
  readonly runningCount: number;
  readonly decideShareOfCore: number;
  readonly messageBytesPerSecond: number;
  /** The start delays of urgent tasks; for tasks that still wait, the time they have waited. */
  readonly urgentDelaysMs: readonly number[];
  readonly delaysMs: readonly number[];
}

interface SubmittedJob {
  readonly atMs: number;
  readonly isUrgent: boolean;
  waitingCount: number;
}

interface Scheduled {
  readonly atMs: number;
  readonly run: () => void;
}

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

export class CellRun {
  readonly #options: CellRunOptions;

  readonly #random: SeededRandom;

  readonly #table = new TableStandIn();

  /** The daemon's and the worker's end of the exchange with each worker. */
  readonly #exchanges = new Map<string, { mirror: ReportMirror; revised: RevisionedWorker }>();

  readonly #instances: readonly WorkerInstance[];

  readonly #submitted = new Map<string, SubmittedJob>();

  /** Events by millisecond. Buckets are cheap, so the queue does not distort the measurement. */
  readonly #buckets = new Map<number, Scheduled[]>();

  readonly #cell: CellDriver;

  #nowMs = 0;

  #messageBytes = 0;

  #jobCount = 0;

  #runningCount = 0;

  #delays: { readonly delayMs: number; readonly isUrgent: boolean }[] = [];

  constructor(options: CellRunOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#instances = Array.from({ length: options.workerCount }, (_, index) =>
      this.#addWorker(index),
    );
    this.#cell = new CellDriver(CELL, options.timing, options.policy, {
      table: this.#table,
      nowMs: () => this.#nowMs,
      schedule: (delayMs, run) => this.#schedule(delayMs, run),
      command: (workerId, command) => this.#command(workerId, command),
    });
    this.#write(zoneKey(CELL), { name: CELL, region: 'r', state: 'in-use' });
    this.#write(serviceKey('rounds'), {
      name: 'rounds',
      team: 'kitchen',
      replicaCount: options.serviceTaskCount,
      size: { processorMillis: 1_000, memoryBytes: GIBIBYTE, acceleratorCount: 0 },
      urgency: 'urgent',
    });
  }

  /** Runs for `warmUpMs`, then measures over `measuredMs`. */
  run(warmUpMs: number, measuredMs: number): CellRunFigures {
    this.#cell.handle({ kind: 'instances', workers: [...this.#instances] });
    this.#cell.start();
    this.#submitNext();
    this.#advanceTo(warmUpMs);
    const before = { ...this.#table.counts };
    this.#cell.decideCpuUs = 0;
    this.#messageBytes = 0;
    this.#delays = [];
    this.#advanceTo(warmUpMs + measuredMs);
    const seconds = measuredMs / MS_PER_SECOND;
    const { counts } = this.#table;
    const delaysOf = (isUrgent: boolean): readonly number[] =>
      this.#delays.filter((delay) => delay.isUrgent === isUrgent).map(({ delayMs }) => delayMs);
    return {
      transactionsPerSecond: (counts.transactionCount - before.transactionCount) / seconds,
      rowsPerSecond: (counts.writtenRowCount - before.writtenRowCount) / seconds,
      readRowsPerSecond: (counts.readRowCount - before.readRowCount) / seconds,
      startsPerSecond: this.#delays.length / seconds,
      runningCount: this.#runningCount,
      decideShareOfCore: this.#cell.decideCpuUs / US_PER_MS / measuredMs,
      messageBytesPerSecond: this.#messageBytes / seconds,
      urgentDelaysMs: [...delaysOf(true), ...this.#urgentWaitsMs()],
      delaysMs: delaysOf(false),
    };
  }

  #urgentWaitsMs(): readonly number[] {
    return [...this.#submitted.values()]
      .filter(({ isUrgent }) => isUrgent)
      .flatMap(({ atMs, waitingCount }) =>
        Array.from({ length: Math.max(0, waitingCount) }, () => this.#nowMs - atMs),
      );
  }

  #addWorker(index: number): WorkerInstance {
    const id = `w${index}`;
    const capacity = {
      processorMillis: 32_000,
      memoryBytes: 125 * GIBIBYTE,
      acceleratorCount: index % 7 === 0 ? 8 : 0,
    };
    const worker = new WorkerStandIn(id, `${id}@0`, capacity, (event) => {
      if (event.kind === 'ended') this.#runningCount -= 1;
      if (event.kind !== 'started') return;
      this.#runningCount += 1;
      const submitted = this.#submitted.get(event.taskId.split('/')[0] ?? '');
      if (submitted === undefined) return;
      submitted.waitingCount -= 1;
      this.#delays.push({
        delayMs: this.#nowMs - submitted.atMs,
        isUrgent: submitted.isUrgent,
      });
    });
    this.#exchanges.set(id, {
      mirror: new ReportMirror(),
      revised: new RevisionedWorker((command) => worker.command(command, this.#nowMs)),
    });
    return {
      kind: 'worker',
      id,
      availabilityZone: CELL,
      rack: `r${Math.floor(index / RACK_SIZE)}`,
      state: 'live',
      controlAddress: { host: '127.0.0.1', port: 1 },
      backendAddress: { host: '127.0.0.1', port: 1 },
      capacity,
      slotCount: 8,
      connectionCount: 64,
    };
  }

  /** Submits a job of one to eight tasks and schedules the next submission. */
  #submitNext(): void {
    const { startsPerSecond, urgentEvery, batchWorkMs } = this.#options;
    const isFilling = this.#nowMs < this.#options.fillMs;
    const taskCount = 1 + this.#random.nextIndex(8);
    const jobId = `team.job${this.#jobCount}`;
    const isUrgent = this.#jobCount % urgentEvery === 0;
    const urgency: Urgency = isUrgent ? 'urgent' : 'normal';
    const row: WorkRow = {
      shardId: `${jobId}~${CELL}`,
      jobId,
      team: 'team',
      size: {
        processorMillis: 500 + 250 * this.#random.nextIndex(5),
        memoryBytes: (1 + this.#random.nextIndex(6)) * GIBIBYTE,
        acceleratorCount: 0,
      },
      urgency,
      workMs: isFilling ? LONG_WORK_MS : batchWorkMs / 2 + this.#random.nextIndex(batchWorkMs),
      tasks: Array.from({ length: taskCount }, (_, index) => ({
        index,
        state: 'queued',
        attempt: 1,
        checkpoint: null,
        evictionCount: 0,
        failureWeight: 0,
      })),
    };
    this.#jobCount += 1;
    this.#submitted.set(jobId, { atMs: this.#nowMs, isUrgent, waitingCount: taskCount });
    this.#write(workKey(CELL, row.shardId), row);
    const rate = isFilling ? startsPerSecond * FILL_FACTOR : startsPerSecond;
    const meanMs = (taskCount * MS_PER_SECOND) / rate;
    this.#schedule(Math.round(meanMs * 2 * this.#random.nextFraction()), () => this.#submitNext());
  }

  #write(key: string, value: unknown): void {
    const operationId = `bench-${this.#nowMs}`;
    const inboxKey = cellInboxKey(CELL);
    const before = { ...this.#table.counts };
    const [inbox] = this.#table.read({ keys: [inboxKey], prefixes: [] }).rows;
    const arrivals = key.startsWith(workPrefix(CELL)) ? [key] : [];
    const writes = [
      { key, value: value as never },
      { key: VERSION_KEY, value: { version: 1 } },
      { key: inboxKey, value: nextInboxValue(inbox, operationId, arrivals) },
    ];
    this.#table.transact({ operationId, conditions: [], writes });
    // The submitter's reads and writes do not count as the cell's.
    Object.assign(this.#table.counts, before);
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const bucket = this.#buckets.get(atMs) ?? [];
    bucket.push({ atMs, run });
    this.#buckets.set(atMs, bucket);
  }

  #advanceTo(endMs: number): void {
    for (; this.#nowMs < endMs; this.#nowMs += 1) {
      const due = this.#buckets.get(this.#nowMs) ?? [];
      this.#buckets.delete(this.#nowMs);
      due.forEach(({ run }) => run());
    }
  }

  #command(workerId: string, command: WorkerCommand): WorkerReport | undefined {
    const exchange = this.#exchanges.get(workerId);
    if (exchange === undefined) return undefined;
    const sent = exchange.mirror.toMessage(command);
    const reply = exchange.revised.command(wireCommandSchema.parse(sent.message));
    this.#messageBytes += JSON.stringify(sent.message).length + JSON.stringify(reply).length;
    return exchange.mirror.toReport(sent, wireReportSchema.parse(reply));
  }
}
