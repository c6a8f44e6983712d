/** Plays a list of steps in virtual time and returns the violations; reproducible for each list. */
import { RunEnd } from '../../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from '../fleetFixtures.js';
import { FleetWorld } from '../fleetWorld.js';
import { FaultInjector } from '../randomFaults.js';
import { type ExplorationStep, FAULTS, workerIdOf } from './faults.js';

export const WORKER_COUNT = 6;
export const SCHEDULER_COUNT = 4;
const WORLD_SEED = 1;
/** By then, all delayed messages have arrived. */
const MINIMUM_SETTLE_MS = 15_000;
const MAXIMUM_SETTLE_MS = 45_000;
const CHECK_INTERVAL_MS = 1_000;
const PERSISTENT_ID = 'e'.repeat(16);
const PERSISTENT_TASK_COUNT = 4;
const PERSISTENT_WORK_MS = 10_000_000;

export interface PlayResult {
  readonly broken: readonly string[];
  /** Calls that reached a worker. */
  readonly orderCount: number;
}

const idOf = (index: number): string => (index + 1).toString(16).padStart(16, '0');

const submit = (world: FleetWorld, id: string, taskCount: number): void => {
  const steps = [
    { ...STEP, taskCount },
    { ...STEP, after: [0] },
  ];
  world.submit(submissionOf(id, steps));
};

/** Describes submissions that are not complete and persistent tasks that do not run once. */
const unfinishedOf = (world: FleetWorld, submittedIds: readonly string[]): readonly string[] => {
  const unfinished = submittedIds
    .filter((id) => world.progress(id)?.state !== 'complete')
    .map((id) => `${id} is not complete`);
  for (let index = 0; index < PERSISTENT_TASK_COUNT; index += 1) {
    const name = `${PERSISTENT_ID}.0.0.${index}`;
    const runCount = world.workersRunning(name).length;
    if (runCount !== 1) unfinished.push(`${name} runs ${runCount} times in the end`);
  }
  return unfinished;
};

const resultOf = (world: FleetWorld, unfinished: readonly string[]): PlayResult => ({
  broken: [...world.invariants.broken, ...unfinished],
  orderCount: world.deliveredCallCount,
});

/** `prepare` may introduce a defect before the first step. */
export const playSteps = async (
  steps: readonly ExplorationStep[],
  prepare: (world: FleetWorld) => void = () => undefined,
): Promise<PlayResult> => {
  const workMsOf = new Map(steps.map(({ workMs }, index) => [idOf(index), workMs]));
  const world = new FleetWorld(WORLD_SEED, (name) => ({
    workMs: workMsOf.get(name.slice(0, PERSISTENT_ID.length)) ?? PERSISTENT_WORK_MS,
    end: RunEnd.Done,
  }));
  for (let index = 0; index < WORKER_COUNT; index += 1) world.addWorker(workerIdOf(index));
  for (let index = 0; index < SCHEDULER_COUNT; index += 1) world.addScheduler();
  prepare(world);
  const injector = new FaultInjector(world);
  world.submit(
    submissionOf(PERSISTENT_ID, [
      { ...STEP, taskCount: PERSISTENT_TASK_COUNT, isPersistent: true },
    ]),
  );
  const submittedIds: string[] = [];
  for (let index = 0; index < steps.length; index += 1) {
    const step = steps[index] as ExplorationStep;
    if (step.taskCount > 0) {
      submittedIds.push(idOf(index));
      submit(world, idOf(index), step.taskCount);
    }
    FAULTS[step.fault](world, injector, step);
    // eslint-disable-next-line no-await-in-loop -- time passes between the steps
    await world.runFor(step.spanMs);
    if (world.invariants.broken.length > 0) return resultOf(world, []);
  }
  injector.heal();
  await world.runFor(MINIMUM_SETTLE_MS);
  const untilMs = world.nowMs + MAXIMUM_SETTLE_MS - MINIMUM_SETTLE_MS;
  while (unfinishedOf(world, submittedIds).length > 0 && world.nowMs < untilMs) {
    // eslint-disable-next-line no-await-in-loop
    await world.runFor(CHECK_INTERVAL_MS);
  }
  return resultOf(world, unfinishedOf(world, submittedIds));
};
