/** Generates batch jobs of several kinds at a constant rate, drawn from a seed. */
import type { RandomSource } from '../../src/base/common/random.js';
import type { WorkRow } from '../../src/services/workload/common/workRows.js';
import { trueMillis } from './idealPool.js';
import type { ColocationSize, BatchKind } from './workloadModel.js';

const MAXIMUM_TASKS_OF_JOB = 6;

export interface ArrivedJob {
  readonly row: WorkRow;
  readonly kind: BatchKind;
}

export class BatchArrivals {
  readonly #size: ColocationSize;

  readonly #random: RandomSource;

  readonly #tasksPerMs: number;

  /** The fractional number of tasks that are due but not yet submitted. */
  #dueTasks = 0;

  #jobCount = 0;

  constructor(size: ColocationSize, random: RandomSource) {
    this.#size = size;
    this.#random = random;
    const { kinds, demand, capacity, workerCount, services, replicaCount } = size;
    const perTaskMs = kinds.reduce(
      (sum, kind) => sum + kind.share * trueMillis(kind) * kind.declaredWorkMs * kind.workRatio,
      0,
    );
    const serviceMillis = services.reduce(
      (sum, { declared }) => sum + declared.processorMillis * replicaCount,
      0,
    );
    const freeMillis = capacity.processorMillis * workerCount - serviceMillis;
    this.#tasksPerMs = (demand * freeMillis) / perTaskMs;
  }

  /** Returns the jobs that arrive within `elapsedMs`, each in one of `zones`. */
  next(elapsedMs: number, zones: readonly string[]): readonly ArrivedJob[] {
    const jobs: ArrivedJob[] = [];
    this.#dueTasks += this.#tasksPerMs * elapsedMs;
    while (this.#dueTasks > 0) {
      const job = this.#drawJob(zones);
      this.#dueTasks -= job.row.tasks.length;
      jobs.push(job);
    }
    return jobs;
  }

  #drawJob(zones: readonly string[]): ArrivedJob {
    const kind = this.#drawKind();
    const zone = zones[this.#random.nextIndex(zones.length)] as string;
    const taskCount = 1 + this.#random.nextIndex(MAXIMUM_TASKS_OF_JOB);
    const jobId = `${kind.name}.${this.#jobCount}`;
    this.#jobCount += 1;
    const row: WorkRow = {
      shardId: `${jobId}~${zone}`,
      jobId,
      team: kind.name,
      size: kind.declared,
      urgency: 'normal',
      workMs: kind.declaredWorkMs,
      tasks: Array.from({ length: taskCount }, (_, index) => ({
        index,
        state: 'queued',
        attempt: 1,
        checkpoint: null,
        evictionCount: 0,
        failureWeight: 0,
      })),
    };
    return { row, kind };
  }

  #drawKind(): BatchKind {
    const { kinds } = this.#size;
    let remainingShare = this.#random.nextFraction();
    const drawn = kinds.find(({ share }) => {
      remainingShare -= share;
      return remainingShare <= 0;
    });
    return drawn ?? (kinds[0] as BatchKind);
  }
}
