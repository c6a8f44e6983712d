/** A worker of the load model. Its tasks slow each other down, and its usage reports lag. */
import type { Resources } from '../../src/services/worker/common/resources.js';
import {
  type StartRequest,
  TaskClass,
  type TaskAttempt,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
  type WorkerTaskReport,
} from '../../src/services/worker/common/workerClient.js';
import {
  type ColocationSize,
  kindOfTask,
  type BatchKind,
  loadAt,
  RESTART_COST_MS,
  type ServiceModel,
} from './workloadModel.js';

/** The age of the measured usage in a report. */
export const USAGE_LAG_MS = 5_000;

const OVERLOAD_SLOWDOWN = 0.5;

interface ModelTask {
  readonly request: StartRequest;
  readonly kind: BatchKind | undefined;
  readonly service: ServiceModel | undefined;
  readonly startedAtMs: number;
  readonly workMs: number;
  state: WorkerTaskState;
  leaseUntilMs: number;
  processorShare: number;
  throttledAtMs: number;
  previousShare: number;
  doneMs: number;
  savedMs: number;
  checkpoint: string | null;
}

/** The worker's totals since the start of the run. */
export interface WorkerProgress {
  /** Batch work done, in processor-milliseconds, without the work that evictions lost. */
  processorMs: number;
  /** Evictions, except those from a withdrawn zone and those that make room for replicas. */
  evictionCount: number;
  /** Evictions while a service stays too slow even with all batch work throttled to 0. */
  neededEvictionCount: number;
}

const savedMsOf = (checkpoint: string | null): number =>
  checkpoint === null ? 0 : Number(checkpoint.split('@')[1]);

export class ModelWorker {
  readonly id: string;

  readonly availabilityZone: string;

  /** True while the worker's zone is withdrawn. */
  isWithdrawn = false;

  /** True while the zone lacks replicas, so that batch work has to make room for them. */
  isShortOfReplicas = false;

  readonly progress: WorkerProgress = { processorMs: 0, evictionCount: 0, neededEvictionCount: 0 };

  readonly #size: ColocationSize;

  /** Evictions count as needed if a service is slowed by more than this factor. */
  readonly #toleratedSlowdown: number;

  readonly #tasks = new Map<string, ModelTask>();

  constructor(
    id: string,
    availabilityZone: string,
    size: ColocationSize,
    toleratedSlowdown: number,
  ) {
    this.id = id;
    this.availabilityZone = availabilityZone;
    this.#size = size;
    this.#toleratedSlowdown = toleratedSlowdown;
  }

  /** The service of each replica that runs on this worker. */
  get services(): readonly ServiceModel[] {
    return this.#running.map(({ service }) => service).filter((one) => one !== undefined);
  }

  /** The processor use of the services on this worker, in thousandths of a processor. */
  serviceMillis(nowMs: number): number {
    return this.services.reduce(
      (sum, { declared, useRatio }) => sum + declared.processorMillis * useRatio * loadAt(nowMs),
      0,
    );
  }

  /**
   * The factor by which a service on this worker is slower than alone, if each batch task is
   * throttled to at most `shareLimit` of its processors.
   */
  slowdown(service: ServiceModel, nowMs: number, shareLimit = 1): number {
    const { processorMillis } = this.#size.capacity;
    const pressure = this.#batch.reduce((sum, { kind, processorShare }) => {
      const share = Math.min(shareLimit, processorShare);
      const effectiveShare = kind.rigidShare + (1 - kind.rigidShare) * share;
      const use = (kind.declared.processorMillis * kind.useRatio) / processorMillis;
      return sum + kind.pressure(service.name, nowMs) * use * effectiveShare;
    }, 0);
    const wantedMillis = this.serviceMillis(nowMs) + this.#wantedMillis * Math.min(1, shareLimit);
    const overload = Math.max(0, wantedMillis / processorMillis - 1);
    return 1 + loadAt(nowMs) * pressure + OVERLOAD_SLOWDOWN * overload;
  }

  command(command: WorkerCommand, nowMs: number): WorkerReport {
    if (command.incarnation === this.#incarnation) {
      command.renewals.forEach((renewal) => {
        const task = this.#tasks.get(ModelWorker.#key(renewal));
        if (task !== undefined) task.leaseUntilMs = renewal.leaseUntilWorkerMs;
      });
      command.throttles.forEach((throttle) => this.#throttle(throttle, nowMs));
      command.evictions.forEach((attempt) => this.#evict(attempt, nowMs));
      command.acknowledgements.forEach((attempt) => this.#tasks.delete(ModelWorker.#key(attempt)));
      command.starts.forEach((request) => this.#start(request, nowMs));
    }
    return {
      workerId: this.id,
      incarnation: this.#incarnation,
      workerNowMs: nowMs,
      tasks: [...this.#tasks.values()].map((task) => ModelWorker.#toReport(task, nowMs)),
    };
  }

  /** Runs the tasks for `elapsedMs`. Services get their processors before batch tasks. */
  advance(nowMs: number, elapsedMs: number): void {
    const freeMillis = this.#size.capacity.processorMillis - this.serviceMillis(nowMs);
    const speed = Math.min(1, freeMillis / Math.max(1, this.#wantedMillis));
    this.#batch.forEach((running) => {
      const task = running;
      if (nowMs - task.startedAtMs < RESTART_COST_MS) return;
      const doneMs = Math.min(elapsedMs * speed * task.processorShare, task.workMs - task.doneMs);
      const { kind } = task;
      task.doneMs += doneMs;
      this.progress.processorMs += (doneMs * ModelWorker.#trueMillis(kind)) / 1_000;
      const intervals = Math.floor(task.doneMs / kind.checkpointIntervalMs);
      task.savedMs = Math.max(task.savedMs, intervals * kind.checkpointIntervalMs);
      if (task.doneMs >= task.workMs) task.state = WorkerTaskState.Finished;
    });
  }

  get #incarnation(): string {
    return `${this.id}@0`;
  }

  get #running(): readonly ModelTask[] {
    return [...this.#tasks.values()].filter(({ state }) => state === WorkerTaskState.Running);
  }

  get #batch(): readonly (ModelTask & { readonly kind: BatchKind })[] {
    return this.#running.filter(
      (task): task is ModelTask & { readonly kind: BatchKind } => task.kind !== undefined,
    );
  }

  get #wantedMillis(): number {
    return this.#batch.reduce(
      (sum, { kind, processorShare }) => sum + ModelWorker.#trueMillis(kind) * processorShare,
      0,
    );
  }

  #start(request: StartRequest, nowMs: number): void {
    const key = ModelWorker.#key(request);
    if (this.#tasks.has(key) || nowMs > request.startBeforeWorkerMs) return;
    const isBatch = request.taskClass === TaskClass.Batch;
    const kind = isBatch ? kindOfTask(this.#size, request.taskId) : undefined;
    const doneMs = savedMsOf(request.checkpoint);
    this.#tasks.set(key, {
      request,
      kind,
      service: this.#size.services.find(({ name }) => name === request.serviceName),
      startedAtMs: nowMs,
      workMs: request.workMs * (kind?.workRatio ?? 1),
      state: WorkerTaskState.Running,
      leaseUntilMs: request.leaseUntilWorkerMs,
      processorShare: 1,
      throttledAtMs: nowMs,
      previousShare: 0,
      doneMs,
      savedMs: doneMs,
      checkpoint: request.checkpoint,
    });
  }

  #throttle(throttle: TaskAttempt & { readonly processorShare: number }, nowMs: number): void {
    const task = this.#tasks.get(ModelWorker.#key(throttle));
    if (task === undefined || task.processorShare === throttle.processorShare) return;
    task.previousShare = task.processorShare;
    task.processorShare = throttle.processorShare;
    task.throttledAtMs = nowMs;
  }

  #evict(attempt: TaskAttempt, nowMs: number): void {
    const task = this.#tasks.get(ModelWorker.#key(attempt));
    if (task?.state !== WorkerTaskState.Running) return;
    if (task.kind !== undefined) {
      const lostMs = task.doneMs - task.savedMs;
      this.progress.processorMs -= (lostMs * ModelWorker.#trueMillis(task.kind)) / 1_000;
      const isSlow = this.services.some(
        (one) => this.slowdown(one, nowMs, 0) > this.#toleratedSlowdown,
      );
      const isUnavoidable = this.isWithdrawn || this.isShortOfReplicas;
      if (!isUnavoidable) this.progress.evictionCount += 1;
      if (!isUnavoidable && isSlow) this.progress.neededEvictionCount += 1;
    }
    task.checkpoint = `${task.request.taskId}@${Math.floor(task.savedMs)}`;
    task.state = WorkerTaskState.Evicted;
  }

  static #trueMillis(kind: BatchKind): number {
    return kind.declared.processorMillis * kind.useRatio;
  }

  static #key({ taskId, attempt }: TaskAttempt): string {
    return `${taskId}#${attempt}`;
  }

  static #toReport(task: ModelTask, nowMs: number): WorkerTaskReport {
    const { request, kind, state, checkpoint, leaseUntilMs } = task;
    const share =
      nowMs - task.throttledAtMs < USAGE_LAG_MS ? task.previousShare : task.processorShare;
    const { service } = task;
    const serviceMillis = (service?.declared.processorMillis ?? 0) * (service?.useRatio ?? 0);
    // The true usage, not the committed size, which may have been learnt from these reports.
    const processorMillis = Math.round(
      kind === undefined
        ? serviceMillis * loadAt(nowMs - USAGE_LAG_MS)
        : ModelWorker.#trueMillis(kind) * share,
    );
    const usage: Resources = { ...request.size, processorMillis };
    const { taskId, attempt, size } = request;
    const throttle = task.processorShare < 1 ? { processorShare: task.processorShare } : {};
    return {
      taskId,
      attempt,
      state,
      size,
      usage,
      checkpoint,
      leaseUntilWorkerMs: leaseUntilMs,
      unsavedWorkMs: task.doneMs - task.savedMs,
      ...throttle,
    };
  }
}
