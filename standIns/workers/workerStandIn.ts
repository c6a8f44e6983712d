/**
 * A worker without any I/O. It runs tasks under leases on its own clock, reports when its capacity
 * is exceeded and remembers every attempt that it started.
 */
import {
  fitsInto,
  type Resources,
  subtractResources,
  sumResources,
} from '../../src/services/worker/common/resources.js';
import {
  type StartRequest,
  TaskClass,
  type TaskAttempt,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
  type WorkerTaskReport,
} from '../../src/services/worker/common/workerClient.js';

interface WorkerTask {
  readonly request: StartRequest;
  state: WorkerTaskState;
  leaseUntilMs: number;
  /** The start of the current processor share; `doneBeforeMs` is the work done before that time. */
  shareSinceMs: number;
  doneBeforeMs: number;
  processorShare: number;
  checkpoint: string | null;
}

/** An event of a worker, from which the judge checks the system. */
export interface WorkerEvent {
  readonly kind: 'started' | 'ended' | 'overcommitted';
  readonly workerId: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly taskClass: TaskClass;
  readonly state: WorkerTaskState;
  /** The work that the task's checkpoint contains. */
  readonly savedMs: number;
}

const savedMsOf = (checkpoint: string | null): number =>
  checkpoint === null ? 0 : Number(checkpoint.split('@')[1]);

export class WorkerStandIn {
  readonly workerId: string;

  readonly incarnation: string;

  readonly #capacity: Resources;

  readonly #onEvent: (event: WorkerEvent) => void;

  readonly #tasks = new Map<string, WorkerTask>();

  /** Attempts that were ever started, so that a repeated message does not start one again. */
  readonly #seenAttempts = new Set<string>();

  /** While the object store is down, no checkpoint can be written, so an evicted task runs on. */
  isObjectStoreDown = false;

  /** The resources that a task uses. By default, a task uses its whole size. */
  usageOf: ((request: StartRequest) => Resources) | undefined;

  #highestEpoch = 0;

  constructor(
    workerId: string,
    incarnation: string,
    capacity: Resources,
    onEvent: (event: WorkerEvent) => void,
  ) {
    this.workerId = workerId;
    this.incarnation = incarnation;
    this.#capacity = capacity;
    this.#onEvent = onEvent;
  }

  /** Whether this worker runs a task of the service and so answers its requests. */
  hasService(serviceName: string): boolean {
    return this.#running().some(({ request }) => request.serviceName === serviceName);
  }

  command(command: WorkerCommand, nowMs: number): WorkerReport {
    this.advance(nowMs);
    const isCurrent = command.cellEpoch >= this.#highestEpoch;
    if (isCurrent) this.#highestEpoch = command.cellEpoch;
    if (isCurrent && command.incarnation === this.incarnation) {
      command.renewals.forEach((renewal) => this.#renew(renewal));
      command.throttles.forEach((throttle) => this.#throttle(throttle, nowMs));
      command.evictions.forEach((attempt) => this.#evict(attempt, nowMs));
      command.acknowledgements.forEach((attempt) => this.#forget(attempt));
      command.starts.forEach((request) => this.#start(request, nowMs));
    }
    return this.report(nowMs);
  }

  report(nowMs: number): WorkerReport {
    this.advance(nowMs);
    return {
      workerId: this.workerId,
      incarnation: this.incarnation,
      workerNowMs: nowMs,
      tasks: [...this.#tasks.values()].map((task) => this.#toReport(task)),
    };
  }

  /** Ends the tasks that have done their work or whose lease has expired. */
  advance(nowMs: number): void {
    this.#running().forEach((task) => {
      const { request } = task;
      const doneMs = WorkerStandIn.#doneMs(task, nowMs);
      if (nowMs > task.leaseUntilMs) this.#end(task, WorkerTaskState.Lapsed);
      else if (request.taskClass === TaskClass.Batch && doneMs >= request.workMs) {
        this.#end(task, WorkerTaskState.Finished);
      }
    });
  }

  #running(): readonly WorkerTask[] {
    return [...this.#tasks.values()].filter((task) => task.state === WorkerTaskState.Running);
  }

  #start(request: StartRequest, nowMs: number): void {
    const key = WorkerStandIn.#key(request);
    if (this.#seenAttempts.has(key) || nowMs > request.startBeforeWorkerMs) return;
    this.#seenAttempts.add(key);
    const used = sumResources(this.#running().map((task) => task.request.size));
    const task: WorkerTask = {
      request,
      state: WorkerTaskState.Running,
      leaseUntilMs: request.leaseUntilWorkerMs,
      shareSinceMs: nowMs,
      processorShare: 1,
      doneBeforeMs: savedMsOf(request.checkpoint),
      checkpoint: request.checkpoint,
    };
    this.#tasks.set(key, task);
    this.#emit('started', task);
    if (!fitsInto(request.size, subtractResources(this.#capacity, used))) {
      this.#emit('overcommitted', task);
    }
  }

  #renew(renewal: TaskAttempt & { readonly leaseUntilWorkerMs: number }): void {
    const task = this.#tasks.get(WorkerStandIn.#key(renewal));
    if (task === undefined) return;
    task.leaseUntilMs = Math.max(task.leaseUntilMs, renewal.leaseUntilWorkerMs);
  }

  #evict(attempt: TaskAttempt, nowMs: number): void {
    const task = this.#tasks.get(WorkerStandIn.#key(attempt));
    if (task?.state !== WorkerTaskState.Running || this.isObjectStoreDown) return;
    const doneMs = WorkerStandIn.#doneMs(task, nowMs);
    task.checkpoint = `${task.request.taskId}@${Math.floor(doneMs)}`;
    this.#end(task, WorkerTaskState.Evicted);
  }

  #throttle(throttle: WorkerCommand['throttles'][number], nowMs: number): void {
    const task = this.#tasks.get(WorkerStandIn.#key(throttle));
    if (task === undefined) return;
    task.doneBeforeMs = WorkerStandIn.#doneMs(task, nowMs);
    task.shareSinceMs = nowMs;
    task.processorShare = throttle.processorShare;
  }

  #forget(attempt: TaskAttempt): void {
    const key = WorkerStandIn.#key(attempt);
    if (this.#tasks.get(key)?.state !== WorkerTaskState.Running) this.#tasks.delete(key);
  }

  #end(task: WorkerTask, state: WorkerTaskState): void {
    // The worker owns the record and changes it in place.
    // eslint-disable-next-line no-param-reassign
    task.state = state;
    this.#emit('ended', task);
  }

  #emit(kind: WorkerEvent['kind'], { request, state, checkpoint }: WorkerTask): void {
    const { taskId, attempt, taskClass } = request;
    const savedMs = savedMsOf(checkpoint);
    this.#onEvent({ kind, workerId: this.workerId, taskId, attempt, taskClass, state, savedMs });
  }

  static #doneMs(
    { doneBeforeMs, shareSinceMs: sinceMs, processorShare }: WorkerTask,
    nowMs: number,
  ): number {
    return doneBeforeMs + (nowMs - sinceMs) * processorShare;
  }

  static #key({ taskId, attempt }: TaskAttempt): string {
    return `${taskId}#${attempt}`;
  }

  #toReport({ request, state, checkpoint, ...task }: WorkerTask): WorkerTaskReport {
    const processorMillis = Math.round(request.size.processorMillis * task.processorShare);
    return {
      taskId: request.taskId,
      attempt: request.attempt,
      state,
      size: request.size,
      usage: this.usageOf?.(request) ?? { ...request.size, processorMillis },
      checkpoint,
      leaseUntilWorkerMs: task.leaseUntilMs,
      ...(task.processorShare < 1 ? { processorShare: task.processorShare } : {}),
    };
  }
}
