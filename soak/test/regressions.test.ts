/** Failures that randomised runs found. Each test replays the shrunk trace with its original seed. */
import { describe, expect, it } from 'vitest';

import { ledgerRowSchema } from '../../src/services/workload/common/workRows.js';
import { expectSettled } from './soakCommands.js';
import { SERVICE, TASK_SIZE } from './soakTypes.js';
import { SoakWorld } from './soakWorld.js';

const submit = (world: SoakWorld, taskCount: number, workMs: number): Promise<void> =>
  world.operate(0, {
    intent: 'submit-job',
    team: 'kitchen',
    submissionKey: 'job-1',
    urgency: 'normal',
    taskCount,
    size: TASK_SIZE,
    workMs,
  });

describe('regressions found by randomised runs', () => {
  // Without any fault, one task of a job with 13 tasks ran twice. An idle worker holds no lease, so
  // the scheduler treated an assignment that it had just committed as one with expired leases. It
  // queued the task again in the same step that sent the start.
  it('seed 1, scheduler: a new assignment to an idle worker is not treated as lost', async () => {
    const world = new SoakWorld(0);
    await world.start();
    void submit(world, 13, 10);
    await world.runFor(400);
    await expectSettled(world);
  });

  // The operator was told that a plan did not run although the plan was in force. The answer of the
  // first transaction was lost and the retry could not read the table. The failed read was returned
  // as the answer, although the transaction might have taken effect.
  it('seed 18, scheduler: a plan whose answer was lost is not reported as "not run"', async () => {
    const world = new SoakWorld(1_524_433_494);
    await world.start();
    const planCount = (): number => world.table.read({ keys: [], prefixes: ['plan/'] }).rows.length;
    const before = planCount();
    void submit(world, 1, 10);
    // eslint-disable-next-line no-await-in-loop -- time passes in steps
    while (planCount() === before) await world.runFor(1);
    world.tableFaults.lostRatio = 1;
    await world.runFor(300);
    Object.assign(world.tableFaults, { lostRatio: 0, isDown: true });
    await world.runFor(2_000);
    world.tableFaults.isDown = false;
    await expectSettled(world);
  });

  // A cancelled job never ended. The worker refused the start of the assigned task because it
  // arrived too late, and the job was cancelled by then. The owner neither started the task nor
  // revoked the assignment, which kept the worker's capacity reserved for ever.
  it('seed 13, operator: the assignment of a cancelled task whose start was refused is revoked', async () => {
    const world = new SoakWorld(1_247_878_356);
    await world.start();
    void submit(world, 1, 10);
    const isAssigned = (): boolean =>
      JSON.stringify(world.table.read({ keys: [], prefixes: ['ledger/'] })).includes('job-1/0');
    // eslint-disable-next-line no-await-in-loop -- time passes in steps
    while (!isAssigned()) await world.runFor(1);
    world.workers.forEach((worker) => Object.assign(worker, { isCut: true }));
    void world.operate(0, { intent: 'cancel-jobs', jobIds: ['kitchen.job-1'] });
    await world.runFor(3_000);
    world.workers.forEach((worker) => Object.assign(worker, { isCut: false }));
    await expectSettled(world);
  });

  // A finished task ran a second time after a table outage. The worker reported the end while the
  // owner could not record it. After the duration of a lease the owner treated the assignment as
  // lost, although the worker had reported the end.
  it('seeds 1209 (all), 1302, 1346 (operator): a reported end survives a table outage', async () => {
    const world = new SoakWorld(321_778_456);
    await world.start();
    void submit(world, 13, 1_500);
    await world.runFor(1_500);
    world.tableFaults.isDown = true;
    await world.runFor(15_000);
    world.tableFaults.isDown = false;
    await expectSettled(world);
  });

  // A job that could have run was given up, because bad workers used up its attempts two at a time.
  // The round that records a failure also assigns tasks, and it assigned before it processed the
  // failure. The next attempt started at once, on the worker that had just failed the task.
  it('seeds 40000, 41038, 80084 (badWorkers): a failed task is retried later on another worker', async () => {
    const world = new SoakWorld(1);
    await world.start();
    // Failed service replicas on the same worker would make the worker suspect and halve the wait.
    void world.operate(0, { intent: 'remove-service', name: SERVICE });
    await world.runFor(10_000);
    world.workers.forEach((worker) => Object.assign(worker, { isBad: true }));
    void submit(world, 1, 500);
    const attempts = new Map<number, { readonly workerId: string; readonly atMs: number }>();
    const recordAttempts = (): void =>
      world.table
        .read({ keys: [], prefixes: ['ledger/'] })
        .rows.flatMap(({ value }) => ledgerRowSchema.parse(value).assignments)
        .filter(({ taskId, attempt }) => taskId === 'kitchen.job-1/0' && !attempts.has(attempt))
        .forEach(({ attempt, workerId }) => attempts.set(attempt, { workerId, atMs: world.nowMs }));
    while (attempts.size < 2 && world.nowMs < 30_000) {
      // eslint-disable-next-line no-await-in-loop -- time passes in steps
      await world.runFor(10);
      recordAttempts();
    }
    const [first, second] = [attempts.get(1), attempts.get(2)];
    expect((second?.atMs ?? 0) - (first?.atMs ?? 0)).toBeGreaterThanOrEqual(1_000);
    expect(second?.workerId).not.toBe(first?.workerId);
  });
});
