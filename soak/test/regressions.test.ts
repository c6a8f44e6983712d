/** What randomised runs have found, each as its shrunk trace with its seed unchanged. */
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

describe('found by randomised runs', () => {
  // The operator sees a task of a job of 13 done twice, without any fault. A worker with nothing
  // to do holds no lease, so an assignment just committed to it was taken for one whose leases
  // are over: it was queued again in the same step in which its start went out.
  it('seed 1, scheduler: a new assignment to an idle worker is not taken for lost', async () => {
    const world = new SoakWorld(0);
    await world.start();
    void submit(world, 13, 10);
    await world.runFor(400);
    await expectSettled(world);
  });

  // The operator is told that a plan was not run, and finds it in force. The first transaction's
  // answer is lost, the next try cannot read the table, and the failure of that read is passed
  // on as the answer although the transaction may have taken effect.
  it('seed 18, scheduler: "not run" is not said of a plan whose answer was lost', async () => {
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

  // A cancelled job never ends. Its task was assigned, the start arrived too late to be taken,
  // and by then the job was cancelled: the owner neither starts the task any more nor takes the
  // assignment back, which also holds its worker's capacity for ever.
  it('seed 13, operator: a cancelled task whose start was refused is taken back', async () => {
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

  // A finished task runs a second time after an outage of the table. Its worker tells of the end
  // while the owner cannot record it; after the length of a lease the owner takes the assignment
  // for lost, although it has the worker's word.
  it('seeds 1209 (all), 1302, 1346 (operator): an end outlasts an outage of the table', async () => {
    const world = new SoakWorld(321_778_456);
    await world.start();
    void submit(world, 13, 1_500);
    await world.runFor(1_500);
    world.tableFaults.isDown = true;
    await world.runFor(15_000);
    world.tableFaults.isDown = false;
    await expectSettled(world);
  });

  // An operator finds a job given up that would run: bad workers used its tries up two at a time.
  // The round that records a failure also assigns, and did so before it had learnt of the failure:
  // the next attempt followed at once, on the worker that had just failed the task.
  it('seeds 40000, 41038, 80084 (badWorkers): a failed task waits, and goes elsewhere', async () => {
    const world = new SoakWorld(1);
    await world.start();
    // Replicas that failed beside it would make the worker doubtful, and the wait half as long.
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
