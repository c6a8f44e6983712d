/** Tells workers that fail the tasks they start from jobs that fail wherever they run. */

/** A worker is suspect after failures of this many different jobs without a success in between. */
const SUSPECT_JOB_COUNT = 3;
/** A suspect worker is quarantined for this long, doubled each time up to the maximum. */
const INITIAL_QUARANTINE_MS = 30_000;
const MAXIMUM_QUARANTINE_MS = 600_000;
/**
 * Maximum share of workers in quarantine, but at least one worker. If more fail, the cause is
 * probably not the workers.
 */
const MAXIMUM_QUARANTINED_SHARE = 0.1;
/** A job that has failed on this many different workers is probably faulty itself. */
const FAULTY_JOB_WORKER_COUNT = 3;
/** Failures of this many different jobs in one streak trip a worker's circuit breaker. */
const TRIPPING_JOB_COUNT = 2;
/**
 * Delay from a failure on a tripped worker to its next probe, doubled each time up to the maximum.
 */
const INITIAL_PROBE_DELAY_MS = 500;
const MAXIMUM_PROBE_DELAY_MS = 2_000;
/**
 * A probe that has run for this long no longer delays the next one, since it may be a long task.
 */
const PROBE_TIMEOUT_MS = 5_000;
/** A streak without a new failure for this long is over; the worker may have been idle. */
const STREAK_LIFETIME_MS = 60_000;

/**
 * Failures on a worker since its last success. Only a success of a later-started run ends the
 * streak.
 */
interface FailureStreak {
  /** Jobs that count against the worker. */
  readonly jobIds: ReadonlySet<string>;
  readonly lastFailureAtMs: number;
  /** The latest start time among the failed runs. */
  readonly lastFailedStartMs: number;
}

interface WorkerRecord {
  /** Jobs that count against the worker. */
  readonly failedJobIds: ReadonlySet<string>;
  /** Up to two jobs that failed here since the last success, whatever the cause of the failures. */
  readonly recentJobIds: ReadonlySet<string>;
  readonly quarantinedUntilMs: number;
  readonly quarantineCount: number;
  readonly streak: FailureStreak | undefined;
}

interface JobRecord {
  /** Workers on which the job has failed. */
  readonly workerIds: ReadonlySet<string>;
  /** True when the failures are attributed to the job instead of the workers. */
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
 * Tracks failures of workers and jobs. Designed for a worker with a broken disk or network in a
 * cell of a hundred: it is always free, so packing sends it one task after another, and each of
 * them uses up an attempt. One faulty job that fails on many workers must not quarantine these
 * workers: a job that has failed on three workers no longer counts against any of them. The records
 * are kept in memory only; a new owner learns them again within three failures per worker.
 *
 * The failure streaks form a separate circuit breaker that reacts within seconds. Failures of jobs
 * from two submissions trip it, and the success of one task that was started afterwards closes it.
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

  isQuarantined(workerId: string, nowMs: number): boolean {
    return nowMs < (this.#workers.get(workerId)?.quarantinedUntilMs ?? Number.NEGATIVE_INFINITY);
  }

  /** Workers on which the job has failed. Its next attempt should run elsewhere if possible. */
  failedOn(jobId: string): ReadonlySet<string> {
    return this.#jobs.get(jobId)?.workerIds ?? NO_WORKERS;
  }

  /** Whether a job has failed on the worker and no run that started later has succeeded. */
  isFailing(workerId: string, nowMs: number): boolean {
    return this.#streakOf(workerId, nowMs) !== undefined;
  }

  /**
   * Whether the circuit breaker has tripped because different jobs have failed; only probes may
   * start.
   */
  isTripped(workerId: string, nowMs: number): boolean {
    return (this.#streakOf(workerId, nowMs)?.jobIds.size ?? 0) >= TRIPPING_JOB_COUNT;
  }

  /**
   * Whether a tripped worker may get one more task. `lastStartMs` is the start of its latest run.
   */
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
   * Whether a failure of the job on this worker counts fully against the job. If other jobs have
   * failed there since the last success, the worker is an equally likely cause. Counting the
   * failure fully would give up good jobs because of bad workers; see `failureWeight.ts`.
   */
  isCredible(workerId: string, jobId: string): boolean {
    const recentJobIds = this.#workers.get(workerId)?.recentJobIds;
    return recentJobIds === undefined || [...recentJobIds].every((one) => one === jobId);
  }

  /**
   * Records the success of a run that started at `startedAtMs`, so that earlier failures no longer
   * count against the worker. The streak ends only if the run started after the last failed one
   * did: a worker whose disk breaks may still finish older runs.
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
    // Tasks that ran on the worker when it was quarantined fail too; their failures are no new
    // evidence.
    const isSuspect =
      failedJobIds.size >= SUSPECT_JOB_COUNT && !this.isQuarantined(workerId, nowMs);
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
    return [...this.#workers.keys()].filter((id) => this.isQuarantined(id, nowMs)).length;
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
      // These ids are kept so that the first failure afterwards quarantines the worker again,
      // before more jobs lose an attempt.
      failedJobIds: record.failedJobIds,
      recentJobIds: record.recentJobIds,
      quarantinedUntilMs: nowMs + quarantineMs,
      quarantineCount: record.quarantineCount + 1,
      streak: record.streak,
    };
  }
}
