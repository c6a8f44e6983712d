import { describe, expect, it } from 'vitest';

import type { ExplorationStep } from './faults.js';
import { playSteps } from './playSteps.js';

describe('a run in which the explorer found a violation', () => {
  // Seed 5277: a silent cut hides the restart, so the next call wrongly acknowledges run ends of
  // the new process.
  it('loses no run end of a worker that restarts during a silent cut', async () => {
    const { broken } = await playSteps([
      {
        fault: 'calm',
        workerIndexes: [],
        schedulerIndexes: [],
        durationMs: 300,
        sharePercent: 0,
        taskCount: 1,
        workMs: 551,
        spanMs: 431,
      },
      {
        fault: 'owner-stopped',
        workerIndexes: [1, 2, 3, 5, 0],
        schedulerIndexes: [2],
        durationMs: 8762,
        sharePercent: 10,
        taskCount: 2,
        workMs: 307,
        spanMs: 680,
      },
      {
        fault: 'entry-lapse',
        workerIndexes: [4, 0, 1, 2, 5, 3],
        schedulerIndexes: [0, 3],
        durationMs: 6498,
        sharePercent: 7,
        taskCount: 2,
        workMs: 206,
        spanMs: 588,
      },
      {
        fault: 'owner-stopped',
        workerIndexes: [1, 4],
        schedulerIndexes: [1, 3, 0, 2],
        durationMs: 347,
        sharePercent: 13,
        taskCount: 1,
        workMs: 2457,
        spanMs: 186,
      },
      {
        fault: 'calls-repeated',
        workerIndexes: [4, 2, 3, 5],
        schedulerIndexes: [1],
        durationMs: 4006,
        sharePercent: 29,
        taskCount: 2,
        workMs: 3415,
        spanMs: 268,
      },
      {
        fault: 'worker-restart',
        workerIndexes: [5, 4, 3],
        schedulerIndexes: [2],
        durationMs: 5212,
        sharePercent: 16,
        taskCount: 2,
        workMs: 3867,
        spanMs: 838,
      },
      {
        fault: 'zone-silent',
        workerIndexes: [4, 0, 3, 1, 2, 5],
        schedulerIndexes: [2, 1],
        durationMs: 2180,
        sharePercent: 16,
        taskCount: 0,
        workMs: 431,
        spanMs: 491,
      },
      {
        fault: 'zone-silent',
        workerIndexes: [5],
        schedulerIndexes: [2, 1, 0, 3],
        durationMs: 3069,
        sharePercent: 0,
        taskCount: 0,
        workMs: 4243,
        spanMs: 275,
      },
      {
        fault: 'worker-restart',
        workerIndexes: [5, 0, 4, 1, 2],
        schedulerIndexes: [],
        durationMs: 825,
        sharePercent: 6,
        taskCount: 1,
        workMs: 4409,
        spanMs: 541,
      },
      {
        fault: 'zone-refusing',
        workerIndexes: [4, 5, 3],
        schedulerIndexes: [],
        durationMs: 4582,
        sharePercent: 8,
        taskCount: 1,
        workMs: 4620,
        spanMs: 820,
      },
      {
        fault: 'zone-refusing',
        workerIndexes: [1, 3, 2, 5],
        schedulerIndexes: [],
        durationMs: 8523,
        sharePercent: 26,
        taskCount: 1,
        workMs: 778,
        spanMs: 837,
      },
      {
        fault: 'table-cut',
        workerIndexes: [4, 3, 1],
        schedulerIndexes: [3, 1, 0],
        durationMs: 3896,
        sharePercent: 12,
        taskCount: 0,
        workMs: 2163,
        spanMs: 160,
      },
      {
        fault: 'orders-late',
        workerIndexes: [],
        schedulerIndexes: [],
        durationMs: 5427,
        sharePercent: 5,
        taskCount: 3,
        workMs: 1738,
        spanMs: 1222,
      },
    ]);
    expect(broken).toEqual([]);
  });

  // Seed 904560: a process that restarts between two calls receives the acknowledgement of its
  // predecessor's run ends while it runs a task.
  it('starts no task again whose end a restarted worker may have forgotten', async () => {
    const calm: ExplorationStep = {
      ...{
        fault: 'calm',
        workerIndexes: [],
        schedulerIndexes: [],
        durationMs: 300,
        sharePercent: 0,
      },
      ...{ taskCount: 0, workMs: 100, spanMs: 551 },
    };
    const { broken } = await playSteps([
      calm,
      { ...calm, spanMs: 1301 },
      { ...calm, schedulerIndexes: [1, 0, 2], durationMs: 6343, workMs: 3994, spanMs: 1230 },
      {
        ...{ fault: 'zone-silent', workerIndexes: [3, 0], schedulerIndexes: [2, 1, 3, 0] },
        ...{ durationMs: 8068, sharePercent: 4, taskCount: 2, workMs: 3059, spanMs: 954 },
      },
      {
        ...{ fault: 'worker-restart', workerIndexes: [2, 1, 0, 5], schedulerIndexes: [2] },
        ...{ durationMs: 688, sharePercent: 8, taskCount: 1, workMs: 1453, spanMs: 12 },
      },
    ]);
    expect(broken).toEqual([]);
  });
});
