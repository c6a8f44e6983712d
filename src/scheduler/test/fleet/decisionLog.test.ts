import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { type DecisionLogEntry, DecisionLog } from '../../common/fleet/decisionLog.js';
import type { TaskRecord } from '../../common/fleet/taskRecords.js';
import { PlacementObstacle } from '../../common/fleet/placementObstacle.js';
import { WaitReason } from '../../common/fleet/waitReason.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000a2';

describe('the log of ended tasks', () => {
  it('reports every end of a burst in a few lines', () => {
    // A thousand tasks on fifty workers end within a second. One line for each list of a worker
    // would reach the log's rate limit, which would then drop the lines about accepted submissions.
    const decisionLog = new DecisionLog();
    const lines: string[] = [];
    const collect = (nowMs: number): void =>
      decisionLog.drain(3, nowMs).forEach(({ fields }) => lines.push(String(fields.ends)));
    for (let index = 0; index < 1_000; index += 1) {
      const taskName = `00000000000000a1.0.0.${index}`;
      const ended = { sequence: index, taskName, run: 1, end: RunEnd.Done, checkpoint: '' };
      decisionLog.addEnds(`worker-${index % 50}`, [ended], index);
      collect(index);
    }
    collect(1_200);
    expect(lines.length).toBeLessThanOrEqual(6);
    const reported = lines.join(' ').split(' ');
    expect(reported).toHaveLength(1_000);
    expect(reported).toContain('00000000000000a1.0.0.999#1@worker-49=done');
  });
});

describe('the log of waiting tasks', () => {
  it('names the oldest task and why tasks are not placed, at most once a second', () => {
    const decisionLog = new DecisionLog();
    const waiting = [
      { name: 'younger', waitingSinceMs: 900, step: STEP },
      { name: 'oldest', waitingSinceMs: 100, step: STEP },
    ] as unknown as TaskRecord[];
    const counts = new Map([[WaitReason.NoRoom, 2]]);
    const obstacles = new Map([[PlacementObstacle.NoProcessors, 3]]);
    const lines: DecisionLogEntry[] = [];
    for (let nowMs = 1_000; nowMs <= 3_000; nowMs += 10) {
      decisionLog.addWaits(waiting, counts, () => obstacles, nowMs);
      lines.push(...decisionLog.drain(3, nowMs));
    }
    expect(lines).toHaveLength(2);
    expect(lines[0]).toEqual({
      event: 'tasks-waiting',
      fields: {
        kind: 'batch',
        count: 2,
        taskName: 'oldest',
        longestWaitMs: 1_000,
        reasons: 'no-room=2',
        obstacles: 'no-processors=3',
      },
    });
  });

  it('counts the workers by the obstacle that keeps tasks off them', async () => {
    const world = new FleetWorld(3, () => ({ workMs: 90_000, end: RunEnd.Done }));
    ['worker-0', 'worker-1', 'worker-2'].forEach((id) => world.addWorker(id));
    world.addScheduler();
    await world.runFor(1_500);
    const { processorMillis } = WORKER_CAPACITY;
    const size = { ...WORKER_CAPACITY, processorMillis: processorMillis - 1 };
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 4, size }]));
    world.drainingWorkers.add('worker-2');
    await world.runFor(5_000);
    const [waiting] = world.logged.filter(({ event }) => event === 'tasks-waiting');
    expect(waiting?.fields.obstacles).toBe('no-processors=2 draining=1');
  });
});

describe('the log of lost runs', () => {
  it('reports the time since the last answer of the worker and the rest of its leases', async () => {
    const world = new FleetWorld(3, () => ({ workMs: 90_000, end: RunEnd.Done }));
    ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(400);
    world.removeWorker(world.workersRunning(`${ID}.0.0.0`)[0] as string);
    await world.runFor(8_000);
    const [lost] = world.logged.filter(({ event }) => event === 'runs-lost');
    expect(lost?.fields.answeredAgoMs).toBeGreaterThan(6_000);
    expect(lost?.fields.leasesLeftMs).toBeLessThanOrEqual(0);
  });
});

describe('the log of resumed tasks', () => {
  /** Returns the lines after the worker of a task is lost, and the owner with it if asked for. */
  const resumptions = async (
    savesProgress: boolean,
    doesOwnerChange: boolean,
  ): Promise<readonly string[]> => {
    const saves = savesProgress ? { saveIntervalMs: 500 } : {};
    const world = new FleetWorld(3, () => ({ workMs: 20_000, end: RunEnd.Done, ...saves }));
    ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
    [0, 1].forEach(() => world.addScheduler());
    await world.runFor(1_500);
    world.submit(submissionOf(ID, [{ ...STEP, savesProgress: true }]));
    await world.runFor(4_000);
    world.removeWorker(world.workersRunning(`${ID}.0.0.0`)[0] as string);
    if (doesOwnerChange) {
      world.killScheduler(world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch));
    }
    await world.runFor(12_000);
    const lines = world.logged.filter(({ event }) => event === 'tasks-resumed');
    return lines.map(({ fields }) => String(fields.runs));
  };

  it('names the checkpoint that a worker listed, and its age', async () => {
    const [line] = await resumptions(true, false);
    expect(line).toMatch(/^00000000000000a2\.0\.0\.0#2=listed:[1-9]\d{3}\+\d{4}ms$/u);
  });

  it('tells a task that has saved nothing from one whose saved work the owner does not know', async () => {
    expect(await resumptions(false, false)).toEqual([`${ID}.0.0.0#2=none:not-listed`]);
    expect(await resumptions(false, true)).toEqual([`${ID}.0.0.0#1001=none:not-inherited`]);
  });
});

describe('the log of delayed submissions', () => {
  it('tells for how long a late submission lacked room, behind what, and for want of what', async () => {
    const blocker = '00000000000000b1';
    const world = new FleetWorld(3, (taskName) => ({
      ...{ workMs: taskName.startsWith(blocker) ? 4_000 : 500, end: RunEnd.Done },
    }));
    world.addWorker('worker-0');
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf(blocker, [{ ...STEP, size: WORKER_CAPACITY, estimateMs: 4_000 }]));
    await world.runFor(200);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(6_000);
    const [delayed] = world.logged.filter(({ event }) => event === 'submissions-delayed');
    const [, waitedMs] = /no-room:(\d+)/u.exec(String(delayed?.fields.submissions)) ?? [];
    expect(delayed?.fields.submissions).toContain(`${ID} queue=queue state=complete`);
    expect(Number(waitedMs)).toBeGreaterThan(3_500);
    expect(delayed?.fields.submissions).toContain('runs=1/1 ahead=none obstacles=no-processors:1');
  });
});
