/** Injects random faults into a simulated fleet, drawn from the fleet's random source. */
import { CheckIns } from './checkIns.js';
import type { FleetWorld } from './fleetWorld.js';
import { noFaults } from './worldFaults.js';
import { ZoneCut } from './zoneCut.js';

const LONGEST_CUT_MS = 9_000;
const LONGEST_RESTART_MS = 1_000;
const LONGEST_LAPSE_MS = 12_000;
/** An entry that is back within this time belongs to a worker that never went away. */
const SHORT_LAPSE_MS = 2_000;

export const injectBasicFault = (world: FleetWorld): void => {
  const { random } = world;
  const workerId = `worker-${random.nextIndex(4)}`;
  const slotIndex = random.nextIndex(3);
  const model = world.workers.get(workerId);
  switch (random.nextIndex(12)) {
    case 0:
      model?.crash();
      break;
    case 1:
      if (model?.isUp === false) model.restart(world.nowMs);
      break;
    case 2:
      world.cutWorkers.add(workerId);
      break;
    case 3:
    case 4:
      world.cutWorkers.clear();
      break;
    case 5:
      world.killScheduler(slotIndex);
      break;
    case 6:
      if (world.schedulerSlots[slotIndex]?.scheduler === undefined) world.startScheduler(slotIndex);
      break;
    case 7:
      Object.assign(world.faults, { isTableDown: !world.faults.isTableDown });
      break;
    case 8:
      Object.assign(world.faults, { lateOrderShare: random.nextFraction() * 0.3 });
      break;
    case 9:
      Object.assign(world.faults, { lostAnswerShare: random.nextFraction() * 0.3 });
      break;
    case 10:
      Object.assign(world.schedulerSlots[slotIndex] ?? {}, {
        isCutFromTable: random.nextIndex(2) === 0,
      });
      break;
    default:
  }
};

/** Removes a worker for good, drained before or not, and adds a new one. */
export const replaceWorker = async (world: FleetWorld, round: number): Promise<void> => {
  const ids = [...world.listedWorkers];
  const id = ids[world.random.nextIndex(ids.length)] as string;
  if (world.random.nextIndex(2) === 0) {
    world.drainingWorkers.add(id);
    await world.runFor(world.random.nextIndex(3_000));
  }
  world.removeWorker(id);
  world.addWorker(`worker-${4 + round}`);
};

const LONGEST_STAY_MS = 5_000;
const LONGEST_LINGER_MS = 4_000;

/** A worker announces how long it stays and leaves later than that; a new one joins at once. */
export const drainAndReplaceWorker = (world: FleetWorld, round: number): void => {
  const { random, drainingWorkers } = world;
  const ids = [...world.listedWorkers].filter((id) => !drainingWorkers.has(id));
  const id = ids[random.nextIndex(ids.length)];
  if (id === undefined) return;
  world.drainWorker(id, random.nextIndex(LONGEST_STAY_MS), random.nextIndex(LONGEST_LINGER_MS));
  world.addWorker(`next-${round}`);
};

/** Starts, stops or kills a random scheduler, so that the owner changes gracefully or abruptly. */
export const toggleScheduler = (world: FleetWorld): void => {
  const slotIndex = world.random.nextIndex(world.schedulerSlots.length);
  if (world.schedulerSlots[slotIndex]?.scheduler === undefined) world.startScheduler(slotIndex);
  else if (world.random.nextIndex(2) === 0) world.stopScheduler(slotIndex);
  else world.killScheduler(slotIndex);
};

export const heal = (world: FleetWorld): void => {
  const { doCallsNameProcess } = world.faults;
  Object.assign(world.faults, noFaults(), { doCallsNameProcess });
  world.cutWorkers.clear();
  world.workers.forEach((model) => {
    if (!model.isUp && world.listedWorkers.has(model.id)) model.restart(world.nowMs);
  });
  world.schedulerSlots.forEach((slot, index) => {
    Object.assign(slot, { isCutFromTable: false });
    if (slot.scheduler === undefined) world.startScheduler(index);
  });
};

/** Injects network cuts, worker restarts and lapses of worker entries, besides all other faults. */
export class FaultInjector {
  readonly #world: FleetWorld;

  readonly #checkIns: CheckIns;

  readonly #cutOffWorkerIds = new Set<string>();

  #cut: ZoneCut | undefined;

  constructor(world: FleetWorld) {
    this.#world = world;
    this.#checkIns = new CheckIns(world, (id) => !this.#cutOffWorkerIds.has(id));
  }

  injectRandomFault(): void {
    const { random, faults } = this.#world;
    switch (random.nextIndex(10)) {
      case 0:
      case 1:
        this.#cutZone();
        break;
      case 2:
      case 3:
        this.#restartSoon();
        break;
      case 4:
        this.lapse(
          this.#randomWorkerId(),
          random.nextIndex(2) === 0
            ? random.nextIndex(SHORT_LAPSE_MS)
            : random.nextIndex(LONGEST_LAPSE_MS),
        );
        break;
      case 5:
        Object.assign(faults, {
          lateHoldShare: random.nextFraction() * 0.2,
          lostOrderAnswerShare: random.nextFraction() * 0.2,
          repeatedCallShare: random.nextFraction() * 0.2,
        });
        break;
      case 6:
        toggleScheduler(this.#world);
        break;
      default:
        injectBasicFault(this.#world);
    }
  }

  /** Cuts off the given workers and schedulers; does nothing while another cut lasts. */
  cut(
    workerIds: readonly string[],
    schedulerIndexes: readonly number[],
    doCutsRefuse: boolean,
    durationMs: number,
  ): void {
    if (this.#cut !== undefined) return;
    Object.assign(this.#world.faults, { doCutsRefuse });
    const cut = new ZoneCut(this.#world, workerIds, schedulerIndexes);
    this.#cut = cut;
    workerIds.forEach((id) => this.#cutOffWorkerIds.add(id));
    this.#world.time.later(durationMs, () => {
      if (this.#cut !== cut) return;
      cut.heal();
      this.#cut = undefined;
      this.#cutOffWorkerIds.clear();
    });
  }

  /** Ends the worker's process; the next one starts after `durationMs`. */
  restart(workerId: string, durationMs: number): void {
    const { workers, time } = this.#world;
    const worker = workers.get(workerId);
    worker?.crash();
    time.later(durationMs, () => {
      if (worker?.isUp === false) worker.restart(time.nowMs);
    });
  }

  lapse(workerId: string, durationMs: number): void {
    this.#checkIns.lapse(workerId, durationMs);
  }

  heal(): void {
    this.#cut?.heal();
    this.#cut = undefined;
    this.#cutOffWorkerIds.clear();
    heal(this.#world);
    const { workers, nowMs } = this.#world;
    workers.forEach((worker) => worker.isUp || worker.restart(nowMs));
  }

  #randomWorkerId(): string {
    const ids = [...this.#world.workers.keys()];
    return ids[this.#world.random.nextIndex(ids.length)] as string;
  }

  /** Cuts off each worker and each scheduler with a probability of one half, for some seconds. */
  #cutZone(): void {
    if (this.#cut !== undefined) return;
    const { random, workers, schedulerSlots } = this.#world;
    const isInside = (): boolean => random.nextIndex(2) === 0;
    const workerIds = [...workers.keys()].filter(isInside);
    const schedulerIndexes = [...schedulerSlots.keys()].filter(isInside);
    const doCutsRefuse = random.nextIndex(3) > 0;
    this.cut(workerIds, schedulerIndexes, doCutsRefuse, random.nextIndex(LONGEST_CUT_MS));
  }

  #restartSoon(): void {
    const id = this.#randomWorkerId();
    this.restart(id, this.#world.random.nextIndex(LONGEST_RESTART_MS));
  }
}
