/** Workers that fail what they start, told apart from jobs that fail wherever they run. */

/** Failures of so many different jobs, with no success between them, make a worker suspect. */
const SUSPECT_JOB_COUNT = 3;
/** A suspect worker takes nothing for so long, doubled each time up to a limit. */
const INITIAL_QUARANTINE_MS = 30_000;
const MAXIMUM_QUARANTINE_MS = 600_000;
/** Never more than this share, or one worker: with more the fault is likely elsewhere. */
const MAXIMUM_QUARANTINED_SHARE = 0.1;
/** Failures on so many different workers make the job itself the likely cause. */
const FAULTY_JOB_WORKER_COUNT = 3;
/** Failures of so many different jobs in one streak trip a worker. */
const TRIPPING_JOB_COUNT = 2;
/** A tripped worker gets its next probe so long after a failure, doubled each time up to a limit. */
const INITIAL_PROBE_DELAY_MS = 500;
const MAXIMUM_PROBE_DELAY_MS = 2_000;
/** A probe that has run for so long does not keep the next one off; it may be a task that lasts. */
const PROBE_TIMEOUT_MS = 5_000;
/** A streak that nothing has been added to for so long is over; the worker may have been idle. */
const STREAK_LIFETIME_MS = 60_000;

/** Failures on a worker that no success of a run started later has ended. */
interface FailureStreak {
  /** Jobs that count against the worker. */
  readonly jobIds: ReadonlySet<string>;
  readonly lastFailureAtMs: number;
  /** When the last run that failed was started. */
  readonly lastFailedStartMs: number;
}

interface WorkerRecord {
  /** Jobs that count against the worker. */
  readonly failedJobIds: ReadonlySet<string>;
  /** Up to two jobs that failed here since the last success, whatever the cause. */
  readonly recentJobIds: ReadonlySet<string>;
  readonly quarantinedUntilMs: number;
  readonly quarantineCount: number;
  readonly streak: FailureStreak | undefined;
}

interface JobRecord {
  /** Workers on which it has failed. */
  readonly workerIds: ReadonlySet<string>;
  /** It failed where nothing else did. */
  readonly isAtFault: boolean;
}

const NO_FAILURES: WorkerRecord = {
  failedJobIds: new Set(),
  recentJobIds: new Set(),
  quarantinedUntilMs: Number.NEGATIVE_INFINITY,
  quarantineCount: 0,
  streak: undefined,
};

const MAXIMUM_TRACKED_JOBS = 1_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

/**
 * Made for a worker with a broken disk or network in a cell of a hundred: it is always free, so
 * packing sends it task after task and each uses up one of its tries. One bad job on many
 * workers must not set these aside: a job that has failed on three workers no longer counts
 * against any. Kept in memory only; a new owner learns it within three failures a worker.
 *
 * The streaks are a circuit breaker beside it, which works within seconds: jobs of two submissions
 * trip it, and one task that was started afterwards and ends well closes it.
 */
export class WorkerHealth {
  readonly #workers: ReadonlyMap<string, WorkerRecord>;

  readonly #jobs: ReadonlyMap<string, JobRecord>;

  constructor(
    workers: ReadonlyMap<string, WorkerRecord> = new Map(),
    jobs: ReadonlyMap<string, JobRecord> = new Map(),
  ) {
    this.#workers = workers;
    this.#jobs = jobs;
  }

  get hasRecords(): boolean {
    return this.#workers.size > 0 || this.#jobs.size > 0;
  }

  isSetAside(workerId: string, nowMs: number): boolean {
    return nowMs < (this.#workers.get(workerId)?.quarantinedUntilMs ?? Number.NEGATIVE_INFINITY);
  }

  /** Workers on which the job has failed; another try belongs elsewhere, if there is another. */
  failedOn(jobId: string): ReadonlySet<string> {
    return this.#jobs.get(jobId)?.workerIds ?? NO_WORKERS;
  }

  /** Whether a job has failed there and nothing started since has ended well. */
  isFailing(workerId: string, nowMs: number): boolean {
    return this.#streakOf(workerId, nowMs) !== undefined;
  }

  /** Whether different jobs have failed there, so that it should get probes only. */
  isTripped(workerId: string, nowMs: number): boolean {
    return (this.#streakOf(workerId, nowMs)?.jobIds.size ?? 0) >= TRIPPING_JOB_COUNT;
  }

  /** Whether a tripped worker, given when its latest run started, may get one more task. */
  isProbeDue(workerId: string, lastStartMs: number, nowMs: number): boolean {
    const streak = this.#streakOf(workerId, nowMs);
    if (streak === undefined) return true;
    const exponent = Math.max(0, streak.jobIds.size - TRIPPING_JOB_COUNT);
    const delayMs = Math.min(MAXIMUM_PROBE_DELAY_MS, INITIAL_PROBE_DELAY_MS * 2 ** exponent);
    const isProbeRunning =
      lastStartMs > streak.lastFailureAtMs && nowMs < lastStartMs + PROBE_TIMEOUT_MS;
    return !isProbeRunning && nowMs >= streak.lastFailureAtMs + delayMs;
  }

  #streakOf(workerId: string, nowMs: number): FailureStreak | undefined {
    const streak = this.#workers.get(workerId)?.streak;
    const isExpired = streak !== undefined && nowMs >= streak.lastFailureAtMs + STREAK_LIFETIME_MS;
    return isExpired ? undefined : streak;
  }

  /**
   * Whether a failure of the job on this worker tells against the job. Where other jobs have
   * failed since the last success the worker is as likely the cause, and counting the failure
   * fully would give good jobs up because of bad workers; see `failureWeight.ts`.
   */
  isCredible(workerId: string, jobId: string): boolean {
    const recentJobIds = this.#workers.get(workerId)?.recentJobIds;
    return recentJobIds === undefined || [...recentJobIds].every((one) => one === jobId);
  }

  /**
   * A task that was started at `startedAtMs` ended well on the worker, so what failed before was
   * not its fault. A run older than the last one that failed does not end the streak: a worker
   * whose disk breaks may still finish what it began before.
   */
  withSuccess(workerId: string, startedAtMs = Number.POSITIVE_INFINITY): WorkerHealth {
    const known = this.#workers.get(workerId);
    if (known === undefined) return this;
    const { streak } = known;
    const workers = new Map(this.#workers);
    if (streak !== undefined && startedAtMs < streak.lastFailedStartMs) {
      return new WorkerHealth(workers.set(workerId, { ...NO_FAILURES, streak }), this.#jobs);
    }
    workers.delete(workerId);
    const [onlyJobId] = streak?.jobIds.size === 1 ? streak.jobIds : [];
    if (onlyJobId === undefined) return new WorkerHealth(workers, this.#jobs);
    const workerIds = this.failedOn(onlyJobId);
    const jobs = this.#jobsWith(onlyJobId, { workerIds, isAtFault: true });
    return new WorkerHealth(WorkerHealth.#withoutJob(workers, onlyJobId), jobs);
  }

  withFailure(
    workerId: string,
    jobId: string,
    workerCount: number,
    nowMs: number,
    startedAtMs = nowMs,
  ): WorkerHealth {
    const workerIds = new Set([...this.failedOn(jobId), workerId]);
    const wasAtFault = this.#jobs.get(jobId)?.isAtFault === true;
    const isAtFault =
      wasAtFault || workerIds.size >= Math.min(FAULTY_JOB_WORKER_COUNT, workerCount);
    const jobs = this.#jobsWith(jobId, { workerIds, isAtFault });
    const known = this.#workers.get(workerId) ?? NO_FAILURES;
    const recentJobIds =
      known.recentJobIds.size < 2 ? new Set([...known.recentJobIds, jobId]) : known.recentJobIds;
    const streak = this.#streakWith(workerId, isAtFault ? [] : [jobId], startedAtMs, nowMs);
    const record = { ...known, recentJobIds, streak };
    if (isAtFault) {
      const updated = new Map(this.#workers).set(workerId, record);
      return new WorkerHealth(WorkerHealth.#withoutJob(updated, jobId), jobs);
    }
    const failedJobIds = new Set([...record.failedJobIds, jobId]);
    const workers = new Map(this.#workers);
    // What was under way on a worker when it was set aside fails too and tells nothing new.
    const isSuspect = failedJobIds.size >= SUSPECT_JOB_COUNT && !this.isSetAside(workerId, nowMs);
    const mayQuarantine =
      this.#quarantinedCount(nowMs) + 1 <= Math.max(1, workerCount * MAXIMUM_QUARANTINED_SHARE);
    workers.set(
      workerId,
      isSuspect && mayQuarantine
        ? WorkerHealth.#quarantined(record, nowMs)
        : { ...record, failedJobIds },
    );
    return new WorkerHealth(workers, jobs);
  }

  #jobsWith(jobId: string, record: JobRecord): ReadonlyMap<string, JobRecord> {
    const jobs = new Map(this.#jobs);
    jobs.delete(jobId);
    jobs.set(jobId, record);
    if (jobs.size > MAXIMUM_TRACKED_JOBS) jobs.delete([...jobs.keys()][0] as string);
    return jobs;
  }

  #streakWith(
    workerId: string,
    jobIds: readonly string[],
    startedAtMs: number,
    nowMs: number,
  ): FailureStreak {
    const known = this.#streakOf(workerId, nowMs);
    return {
      jobIds: new Set([...(known?.jobIds ?? []), ...jobIds]),
      lastFailureAtMs: nowMs,
      lastFailedStartMs: Math.max(startedAtMs, known?.lastFailedStartMs ?? startedAtMs),
    };
  }

  #quarantinedCount(nowMs: number): number {
    return [...this.#workers.keys()].filter((id) => this.isSetAside(id, nowMs)).length;
  }

  static #withoutJob(
    workers: ReadonlyMap<string, WorkerRecord>,
    jobId: string,
  ): ReadonlyMap<string, WorkerRecord> {
    const withoutJobId = (jobIds: ReadonlySet<string>): ReadonlySet<string> =>
      new Set([...jobIds].filter((one) => one !== jobId));
    return new Map(
      [...workers].map(([id, record]) => {
        const { failedJobIds, streak } = record;
        const remainingStreak = streak && { ...streak, jobIds: withoutJobId(streak.jobIds) };
        return [
          id,
          { ...record, failedJobIds: withoutJobId(failedJobIds), streak: remainingStreak },
        ];
      }),
    );
  }

  static #quarantined(record: WorkerRecord, nowMs: number): WorkerRecord {
    const quarantineMs = Math.min(
      MAXIMUM_QUARANTINE_MS,
      INITIAL_QUARANTINE_MS * 2 ** record.quarantineCount,
    );
    return {
      // Kept, so that its first failure afterwards sets it aside again and costs no job a try.
      failedJobIds: record.failedJobIds,
      recentJobIds: record.recentJobIds,
      quarantinedUntilMs: nowMs + quarantineMs,
      quarantineCount: record.quarantineCount + 1,
      streak: record.streak,
    };
  }
}
