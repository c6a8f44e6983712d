/** Random runs with network cuts between zones and all other faults, reproducible by seed. */
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import { FaultInjector } from './randomFaults.js';

const STEP_COUNT = 75;
const STEP_MS = 400;
const SETTLE_MS = 45_000;
const WORKER_COUNT = 6;
const SCHEDULER_COUNT = 4;
const PERSISTENT_ID = 'e'.repeat(16);
const PERSISTENT_WORK_MS = 120_000;

export interface RandomRunResult {
  readonly broken: readonly string[];
  /** Submissions not complete, and persistent tasks not running once, long after the last fault. */
  readonly unfinished: readonly string[];
}

const workMsOf = (taskName: string): number => {
  if (taskName.startsWith(PERSISTENT_ID)) return PERSISTENT_WORK_MS;
  const digit = Number.parseInt(taskName[15] ?? '0', 16) + Number(taskName.at(-1));
  return 300 + digit * 250;
};

/** Unless `doCallsNameProcess` is set, a late order may reach the worker's next process. */
export const runRandomCuts = async (
  seed: number,
  doCallsNameProcess: boolean,
): Promise<RandomRunResult> => {
  const world = new FleetWorld(seed, (name) => ({ workMs: workMsOf(name), end: RunEnd.Done }));
  for (let index = 0; index < WORKER_COUNT; index += 1) world.addWorker(`worker-${index}`);
  for (let index = 0; index < SCHEDULER_COUNT; index += 1) world.addScheduler();
  Object.assign(world.faults, { doCallsNameProcess });
  const injector = new FaultInjector(world);
  world.submit(submissionOf(PERSISTENT_ID, [{ ...STEP, taskCount: 4, isPersistent: true }]));
  const ids: string[] = [];
  for (let step = 0; step < STEP_COUNT; step += 1) {
    const id = (seed * 1_000 + step).toString(16).padStart(16, '0');
    ids.push(id);
    const steps = [
      { ...STEP, taskCount: 2 },
      { ...STEP, after: [0] },
    ];
    world.submit(submissionOf(id, steps));
    injector.injectRandomFault();
    // eslint-disable-next-line no-await-in-loop -- time passes between the faults
    await world.runFor(STEP_MS);
  }
  injector.heal();
  await world.runFor(SETTLE_MS);
  const unfinished = ids.filter((id) => world.progress(id)?.state !== 'complete');
  for (let index = 0; index < 4; index += 1) {
    const name = `${PERSISTENT_ID}.0.0.${index}`;
    if (world.workersRunning(name).length !== 1) unfinished.push(name);
  }
  return { broken: world.invariants.broken, unfinished };
};
