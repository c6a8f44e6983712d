/** Workers that fail what they start, told apart from jobs that fail wherever they run. */

/** Failures of so many different jobs, with no success between them, make a worker suspect. */
const SUSPECT_JOB_COUNT = 3;
/** A suspect worker takes nothing for so long, doubled each time up to a limit. */
const FIRST_ASIDE_MS = 30_000;
const MAXIMUM_ASIDE_MS = 600_000;
/** Never more than this share, or one worker: with more the fault is likely elsewhere. */
const MAXIMUM_ASIDE_SHARE = 0.1;
/** Failures on so many different workers make a job the likely culprit. */
const BAD_JOB_WORKER_COUNT = 3;

interface WorkerRecord {
  /** Jobs that count against the worker. */
  readonly failedJobIds: ReadonlySet<string>;
  /** Up to two jobs that failed here since the last success, whoever was to blame. */
  readonly recentJobIds: ReadonlySet<string>;
  readonly asideUntilMs: number;
  readonly asideCount: number;
}

const CLEAN: WorkerRecord = {
  failedJobIds: new Set(),
  recentJobIds: new Set(),
  asideUntilMs: Number.NEGATIVE_INFINITY,
  asideCount: 0,
};

const MAXIMUM_TRACKED_JOBS = 1_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

/**
 * Made for a worker with a broken disk or network in a cell of a hundred: it is always free, so
 * packing sends it task after task and each uses up one of its tries. One bad job on many
 * workers must not set these aside: a job that has failed on three workers no longer counts
 * against any. Kept in memory only; a new owner learns it within three failures a worker.
 */
export class WorkerHealth {
  readonly #workers: ReadonlyMap<string, WorkerRecord>;

  readonly #workersOfJob: ReadonlyMap<string, ReadonlySet<string>>;

  constructor(
    workers: ReadonlyMap<string, WorkerRecord> = new Map(),
    workersOfJob: ReadonlyMap<string, ReadonlySet<string>> = new Map(),
  ) {
    this.#workers = workers;
    this.#workersOfJob = workersOfJob;
  }

  isSetAside(workerId: string, nowMs: number): boolean {
    return nowMs < (this.#workers.get(workerId)?.asideUntilMs ?? Number.NEGATIVE_INFINITY);
  }

  /** Workers on which the job has failed; another try belongs elsewhere, if there is another. */
  failedOn(jobId: string): ReadonlySet<string> {
    return this.#workersOfJob.get(jobId) ?? NO_WORKERS;
  }

  /**
   * Whether a failure of the job on this worker tells against the job. Where other jobs have
   * failed since the last success the worker is as likely the culprit, and counting the failure
   * fully would give good jobs up because of bad workers; see `failureWeight.ts`.
   */
  isCredible(workerId: string, jobId: string): boolean {
    const recent = this.#workers.get(workerId)?.recentJobIds;
    return recent === undefined || [...recent].every((one) => one === jobId);
  }

  /** A task ended well on the worker, so what failed before was not its fault. */
  withSuccess(workerId: string): WorkerHealth {
    if (!this.#workers.has(workerId)) return this;
    const workers = new Map(this.#workers);
    workers.delete(workerId);
    return new WorkerHealth(workers, this.#workersOfJob);
  }

  withFailure(workerId: string, jobId: string, workerCount: number, nowMs: number): WorkerHealth {
    const workersOfJob = new Map(this.#workersOfJob);
    const failedOn = new Set([...(workersOfJob.get(jobId) ?? []), workerId]);
    workersOfJob.delete(jobId);
    workersOfJob.set(jobId, failedOn);
    if (workersOfJob.size > MAXIMUM_TRACKED_JOBS) {
      workersOfJob.delete([...workersOfJob.keys()][0] as string);
    }
    const known = this.#workers.get(workerId) ?? CLEAN;
    const recentJobIds =
      known.recentJobIds.size < 2 ? new Set([...known.recentJobIds, jobId]) : known.recentJobIds;
    const record = { ...known, recentJobIds };
    if (failedOn.size >= Math.min(BAD_JOB_WORKER_COUNT, workerCount)) {
      const noted = new Map(this.#workers).set(workerId, record);
      return new WorkerHealth(WorkerHealth.#withoutJob(noted, jobId), workersOfJob);
    }
    const failedJobIds = new Set([...record.failedJobIds, jobId]);
    const workers = new Map(this.#workers);
    // What was under way on a worker when it was set aside fails too and tells nothing new.
    const isSuspect = failedJobIds.size >= SUSPECT_JOB_COUNT && !this.isSetAside(workerId, nowMs);
    const mayBeSet = this.#asideCount(nowMs) + 1 <= Math.max(1, workerCount * MAXIMUM_ASIDE_SHARE);
    workers.set(
      workerId,
      isSuspect && mayBeSet ? WorkerHealth.#aside(record, nowMs) : { ...record, failedJobIds },
    );
    return new WorkerHealth(workers, workersOfJob);
  }

  #asideCount(nowMs: number): number {
    return [...this.#workers.keys()].filter((id) => this.isSetAside(id, nowMs)).length;
  }

  static #withoutJob(
    workers: ReadonlyMap<string, WorkerRecord>,
    jobId: string,
  ): ReadonlyMap<string, WorkerRecord> {
    return new Map(
      [...workers].map(([id, record]) => [
        id,
        {
          ...record,
          failedJobIds: new Set([...record.failedJobIds].filter((one) => one !== jobId)),
        },
      ]),
    );
  }

  static #aside(record: WorkerRecord, nowMs: number): WorkerRecord {
    const asideMs = Math.min(MAXIMUM_ASIDE_MS, FIRST_ASIDE_MS * 2 ** record.asideCount);
    return {
      // Kept, so that its first failure afterwards sets it aside again and costs no job a try.
      failedJobIds: record.failedJobIds,
      recentJobIds: record.recentJobIds,
      asideUntilMs: nowMs + asideMs,
      asideCount: record.asideCount + 1,
    };
  }
}
