/**
 * Simulates services and several kinds of batch work on the workers of three zones in virtual
 * time. The cells run the real state machines. One zone is withdrawn and returns.
 */
import { SeededRandom } from '../../src/base/common/random.js';
import {
  DEFAULT_POLICY,
  POLICY_KEY,
  serviceKey,
  VERSION_KEY,
  zoneKey,
  type ZoneState,
} from '../../src/services/configuration/common/documents.js';
import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import { cellInboxKey, workKey } from '../../src/services/workload/common/workRows.js';
import type { InterferencePolicy } from '../../src/scheduler/common/interference/interferencePolicy.js';
import type { PlacementPolicy } from '../../src/scheduler/common/placement.js';
import { TableStandIn } from '../../standIns/platform/tableStandIn.js';
import { VirtualTime } from '../virtualTime.js';
import { CellDriver, DEFAULT_CELL_TIMING } from '../scheduling/cellDriver.js';
import { BatchArrivals } from './batchArrivals.js';
import { IdealPool, type WorkerRoom, trueMillis } from './idealPool.js';
import { LatencyMeter } from './latencyMeter.js';
import { ModelWorker } from './modelWorker.js';
import { LatencyTail } from './latencyTail.js';
import { type ColocationSize, loadAt, type ServiceModel } from './workloadModel.js';
import { WARM_UP_MS, WorkMeter, ZONE_LEAVES_MS, ZONE_RETURNS_MS } from './workMeter.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const STEP_MS = 500;
/** The period that a latency sample covers, and the delay until the cells receive it. */
const SAMPLE_INTERVAL_MS = 2_000;
const SAMPLE_DELAY_MS = 3_000;
const MS_PER_SECOND = 1_000;

const END_MS = 480_000;

export interface ColocationVariant {
  readonly name: string;
  readonly policy: PlacementPolicy;
  readonly isSizeLearnt: boolean;
  readonly interference: InterferencePolicy;
}

export interface ColocationFigures {
  /** The ratio of a service's p99 to its p99 without batch work, for the worst service. */
  readonly p99Ratio: number;
  /** The ratio of batch work done to the ideal pool's. */
  readonly throughputRatio: number;
  readonly evictionCount: number;
  /** Evictions during which a service stays too slow even with all batch work throttled to 0. */
  readonly neededEvictionCount: number;
  /** `throughputRatio` for the time in which a zone leaves and returns. */
  readonly zoneRatio: number;
  /** Batch work of that time relative to the product's own earlier rate on the remaining workers. */
  readonly zoneToOwnPace: number;
}

export class ColocationRun {
  readonly #size: ColocationSize;

  readonly #variant: ColocationVariant;

  readonly #arrivals: BatchArrivals;

  readonly #table = new TableStandIn();

  readonly #time = new VirtualTime();

  readonly #workers: ReadonlyMap<string, ModelWorker>;

  readonly #cells: ReadonlyMap<string, CellDriver>;

  readonly #latencyMeter: LatencyMeter;

  readonly #tails = new Map<string, LatencyTail>();

  readonly #ideal: IdealPool;

  readonly #workMeter = new WorkMeter();

  #version = 0;

  constructor(
    size: ColocationSize,
    variant: ColocationVariant,
    toleratedSlowdown: number,
    seed: number,
  ) {
    this.#size = size;
    this.#variant = variant;
    this.#ideal = new IdealPool(size.capacity.processorMillis, toleratedSlowdown - 1);
    this.#arrivals = new BatchArrivals(size, new SeededRandom(seed));
    this.#latencyMeter = new LatencyMeter(new SeededRandom(seed + 1));
    this.#workers = new Map(
      Array.from({ length: size.workerCount }, (_, index) => {
        const zone = ZONES[index % ZONES.length] as string;
        const worker = new ModelWorker(`w${index}`, zone, size, toleratedSlowdown);
        return [worker.id, worker];
      }),
    );
    size.services.forEach(({ name }) => this.#tails.set(name, new LatencyTail()));
    const timing = { ...DEFAULT_CELL_TIMING, interference: variant.interference };
    this.#cells = new Map(
      ZONES.map((zone) => [
        zone,
        new CellDriver(zone, timing, variant.policy, {
          table: this.#table,
          nowMs: () => this.#time.nowMs,
          schedule: (delayMs, run) => this.#time.after(delayMs, run),
          command: (id, command) => this.#workers.get(id)?.command(command, this.#time.nowMs),
        }),
      ]),
    );
  }

  run(): ColocationFigures {
    this.#writeConfiguration();
    const instances = [...this.#workers.values()].map((worker, index) =>
      this.#toInstance(worker, index),
    );
    this.#cells.forEach((cell) => {
      cell.handle({ kind: 'instances', workers: instances });
      cell.start();
    });
    this.#time.after(ZONE_LEAVES_MS, () => this.#setZone('withdrawn'));
    this.#time.after(ZONE_RETURNS_MS, () => this.#setZone('in-use'));
    this.#every(STEP_MS, () => this.#step());
    this.#every(SAMPLE_INTERVAL_MS, () => this.#sendSamples());
    this.#time.runUntil(END_MS);
    return this.#figures();
  }

  #figures(): ColocationFigures {
    const workers = [...this.#workers.values()];
    const sum = (select: (worker: ModelWorker) => number): number =>
      workers.reduce((total, worker) => total + select(worker), 0);
    return {
      p99Ratio: Math.max(...[...this.#tails.values()].map(({ p99Ratio }) => p99Ratio)),
      throughputRatio: this.#workMeter.throughputRatio,
      evictionCount: sum(({ progress }) => progress.evictionCount),
      neededEvictionCount: sum(({ progress }) => progress.neededEvictionCount),
      zoneRatio: this.#workMeter.zoneRatio,
      zoneToOwnPace: this.#workMeter.zoneToOwnPace,
    };
  }

  #step(): void {
    const { nowMs } = this.#time;
    this.#submitDue();
    this.#markShortages();
    let doneMs = 0;
    const rooms: WorkerRoom[] = [];
    this.#workers.forEach((worker) => {
      const before = worker.progress.processorMs;
      worker.advance(nowMs, STEP_MS);
      doneMs += worker.progress.processorMs - before;
      this.#countRequests(worker);
      if (worker.isWithdrawn) return;
      const freeMillis = this.#size.capacity.processorMillis - worker.serviceMillis(nowMs);
      rooms.push({ freeMillis, services: worker.services });
    });
    const idealMs = this.#ideal.advance(rooms, nowMs, STEP_MS);
    const remainingShare = rooms.length / this.#workers.size;
    this.#workMeter.count({ doneMs, idealMs, remainingShare }, nowMs, STEP_MS);
  }

  #markShortages(): void {
    const zoneCount = this.#withdrawnZone === undefined ? ZONES.length : ZONES.length - 1;
    const expectedCount =
      Math.floor(this.#size.replicaCount / zoneCount) * this.#size.services.length;
    ZONES.forEach((zone) => {
      const workers = [...this.#workers.values()].filter((one) => one.availabilityZone === zone);
      const runningCount = workers.reduce((sum, { services }) => sum + services.length, 0);
      workers.forEach((one) => {
        const worker = one;
        worker.isShortOfReplicas = runningCount < expectedCount;
      });
    });
  }

  #countRequests(worker: ModelWorker): void {
    const { nowMs } = this.#time;
    if (worker.isWithdrawn) return;
    worker.services.forEach((service) => {
      const requestCount = (ColocationRun.#rate(service, nowMs) * STEP_MS) / MS_PER_SECOND;
      const slowdown = worker.slowdown(service, nowMs);
      this.#latencyMeter.add(worker.id, service, slowdown, requestCount, nowMs);
      if (nowMs >= WARM_UP_MS) this.#tails.get(service.name)?.add(slowdown, requestCount);
    });
  }

  #sendSamples(): void {
    const samples = this.#latencyMeter.takeSamples(this.#time.nowMs);
    this.#time.after(SAMPLE_DELAY_MS, () =>
      this.#cells.forEach((cell) => cell.handle({ kind: 'latency-measured', samples })),
    );
  }

  static #rate(service: ServiceModel, nowMs: number): number {
    return service.fullRate * loadAt(nowMs);
  }

  #submitDue(): void {
    const zones = ZONES.filter((zone) => zone !== this.#withdrawnZone);
    this.#arrivals.next(STEP_MS, zones).forEach(({ row, kind }) => {
      const zone = row.shardId.slice(row.jobId.length + 1);
      row.tasks.forEach(() => {
        this.#ideal.submit(kind);
        this.#workMeter.submit(
          (trueMillis(kind) * kind.declaredWorkMs * kind.workRatio) / MS_PER_SECOND,
        );
      });
      this.#write([
        [workKey(zone, row.shardId), row],
        [cellInboxKey(zone), { operationId: row.jobId }],
      ]);
    });
  }

  get #withdrawnZone(): string | undefined {
    const isWithdrawn = this.#time.nowMs >= ZONE_LEAVES_MS && this.#time.nowMs < ZONE_RETURNS_MS;
    return isWithdrawn ? ZONES[0] : undefined;
  }

  #setZone(state: ZoneState): void {
    const [name] = ZONES;
    this.#version += 1;
    this.#write([
      [zoneKey(name), { name, region: 'r', state }],
      [VERSION_KEY, { version: this.#version }],
    ]);
    this.#workers.forEach((one) => {
      const worker = one;
      if (worker.availabilityZone === name) worker.isWithdrawn = state === 'withdrawn';
    });
  }

  #writeConfiguration(): void {
    this.#version = 1;
    const zones = ZONES.map((name): [string, unknown] => [
      zoneKey(name),
      { name, region: 'r', state: 'in-use' },
    ]);
    const services = this.#size.services.map(({ name, declared }): [string, unknown] => [
      serviceKey(name),
      {
        name,
        team: 'service',
        replicaCount: this.#size.replicaCount,
        size: declared,
        urgency: 'urgent',
      },
    ]);
    const policy = { ...DEFAULT_POLICY, isSizeLearnt: this.#variant.isSizeLearnt };
    this.#write([
      ...zones,
      ...services,
      [POLICY_KEY, policy],
      [VERSION_KEY, { version: this.#version }],
    ]);
  }

  #write(rows: readonly (readonly [key: string, value: unknown])[]): void {
    this.#table.transact({
      operationId: `bench-${this.#time.nowMs}`,
      conditions: [],
      writes: rows.map(([key, value]) => ({ key, value: value as never })),
    });
  }

  #toInstance(worker: ModelWorker, index: number): WorkerInstance {
    return {
      kind: 'worker',
      id: worker.id,
      availabilityZone: worker.availabilityZone,
      rack: `r${Math.floor(index / ZONES.length / this.#size.rackSize)}`,
      state: 'live',
      controlAddress: { host: '127.0.0.1', port: 1 },
      backendAddress: { host: '127.0.0.1', port: 1 },
      capacity: this.#size.capacity,
      slotCount: 8,
      connectionCount: 64,
    };
  }

  #every(intervalMs: number, run: () => void): void {
    this.#time.after(intervalMs, () => {
      run();
      this.#every(intervalMs, run);
    });
  }
}
