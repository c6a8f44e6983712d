/** The faults that the explorer chooses from; each lasts for the `durationMs` of its step. */
import type { FaultInjector } from '../randomFaults.js';
import type { WorldFaults } from '../worldFaults.js';
import type { FleetWorld } from '../fleetWorld.js';

const WHOLE_PERCENT = 100;

export interface ExplorationStep {
  readonly fault: FaultName;
  readonly workerIndexes: readonly number[];
  readonly schedulerIndexes: readonly number[];
  readonly durationMs: number;
  readonly sharePercent: number;
  /** Tasks submitted together with the fault; with 0, nothing is submitted. */
  readonly taskCount: number;
  readonly workMs: number;
  /** Time until the next step. */
  readonly spanMs: number;
}

type Fault = (world: FleetWorld, injector: FaultInjector, step: ExplorationStep) => void;

export const workerIdOf = (index: number): string => `worker-${index}`;

const cutZone =
  (doCutsRefuse: boolean): Fault =>
  (_, injector, { workerIndexes, schedulerIndexes, durationMs }) =>
    injector.cut(workerIndexes.map(workerIdOf), schedulerIndexes, doCutsRefuse, durationMs);

const setShareFor =
  (name: keyof WorldFaults): Fault =>
  ({ faults, time }, _, { sharePercent, durationMs }) => {
    Object.assign(faults, { [name]: sharePercent / WHOLE_PERCENT });
    time.later(durationMs, () => void Object.assign(faults, { [name]: 0 }));
  };

const endSchedulers =
  (end: (world: FleetWorld, index: number) => void): Fault =>
  (world, _, { schedulerIndexes, durationMs }) =>
    schedulerIndexes.forEach((index) => {
      end(world, index);
      world.time.later(durationMs, () => {
        if (world.schedulerSlots[index]?.scheduler === undefined) world.startScheduler(index);
      });
    });

/** Shrinking prefers faults that are listed first. */
export const FAULTS = {
  calm: () => undefined,
  'zone-refusing': cutZone(true),
  'zone-silent': cutZone(false),
  'worker-restart': (_, injector, { workerIndexes, durationMs }) =>
    workerIndexes.forEach((index) => injector.restart(workerIdOf(index), durationMs)),
  'entry-lapse': (_, injector, { workerIndexes, durationMs }) =>
    workerIndexes.forEach((index) => injector.lapse(workerIdOf(index), durationMs)),
  'owner-killed': endSchedulers((world, index) => world.killScheduler(index)),
  'owner-stopped': endSchedulers((world, index) => world.stopScheduler(index)),
  'table-down': ({ faults, time }, _, { durationMs }) => {
    Object.assign(faults, { isTableDown: true });
    time.later(durationMs, () => void Object.assign(faults, { isTableDown: false }));
  },
  'table-cut': ({ schedulerSlots, time }, _, { schedulerIndexes, durationMs }) =>
    schedulerIndexes.forEach((index) => {
      Object.assign(schedulerSlots[index] ?? {}, { isCutFromTable: true });
      time.later(
        durationMs,
        () => void Object.assign(schedulerSlots[index] ?? {}, { isCutFromTable: false }),
      );
    }),
  'answers-lost': setShareFor('lostAnswerShare'),
  'orders-late': setShareFor('lateOrderShare'),
  'holds-late': setShareFor('lateHoldShare'),
  'order-answers-lost': setShareFor('lostOrderAnswerShare'),
  'calls-repeated': setShareFor('repeatedCallShare'),
} as const satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof FAULTS;

export const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[];

export const isFaultName = (name: string): name is FaultName => Object.hasOwn(FAULTS, name);
