import { describe, expect, it } from 'vitest';

import { TaskClass } from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';
import type { CellRows } from '../common/cellRows.js';
import { PreemptionPlan } from '../common/preemption.js';
import { CAPACITY, shard, SIZE } from './cellFixtures.js';

const NOTHING = { processorMillis: 0, memoryBytes: 0, acceleratorCount: 0 };
const ROW = shard(3, 60_000);

const assignment = (taskIndex: number): Assignment => ({
  taskId: `${ROW.jobId}/${taskIndex}`,
  attempt: 1,
  workerId: 'w0',
  incarnation: 'w0@0',
  taskClass: TaskClass.Batch,
  serviceName: '',
  shardId: ROW.shardId,
  taskIndex,
  size: SIZE,
  workMs: ROW.workMs,
  checkpoint: null,
});

const ROWS = {
  assignmentsByWorker: new Map([['w0', [0, 1, 2].map(assignment)]]),
  work: new Map([[ROW.shardId, ROW]]),
} as unknown as CellRows;

const FULL = {
  workerId: 'w0',
  rack: 'r0',
  incarnation: 'w0@0',
  capacity: CAPACITY,
  free: NOTHING,
  sameServiceOnWorkerCount: 0,
  sameServiceInRackCount: 0,
};

describe('preemption for urgent work', () => {
  // Three equal tasks fill a worker, and an urgent task needs the place of one of them. Two would
  // lose 20 s and half a second of work, the third a minute. The one that loses the least must be
  // chosen.
  it('evicts the task that loses the least work', () => {
    const lostWorkMs = [60_000, 500, 20_000];
    const plan = new PreemptionPlan(
      [FULL],
      ROWS,
      new Set(),
      ({ taskIndex }) => lostWorkMs[taskIndex] ?? 0,
    );
    plan.makeRoom(SIZE);
    expect([...plan.chosen]).toEqual([`${ROW.jobId}/1#1`]);
  });
});
