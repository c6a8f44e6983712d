/**
 * Verifies that the judge detects failures. Each test breaks one safeguard through a test-only
 * switch and expects the judge to report the effect on users. The same steps without the switch
 * must find nothing.
 */
import { describe, expect, it } from 'vitest';

import type { ConfigurationView } from '../../src/services/configuration/common/configurationView.js';
import { ZONE_PREFIX } from '../../src/services/configuration/common/documents.js';
import type { CellState } from '../../src/scheduler/common/cellState.js';
import type { WorkerView } from '../../src/scheduler/common/workerView.js';
import { assertNothingFound } from './soakCommands.js';
import type { SafeguardFaults } from './safeguardFaults.js';
import { SERVICE, TASK_SIZE, ZONES } from './soakTypes.js';
import { SoakWorld } from './soakWorld.js';

type Steps = (world: SoakWorld) => Promise<void>;

interface Case {
  /** The guarantee to users that the broken safeguard protects. */
  readonly guarantee: string;
  readonly brokenSafeguard: string;
  readonly safeguardFaults: SafeguardFaults;
  readonly steps: Steps;
  readonly finding: RegExp;
}

const SEED = 7;

const submit = (world: SoakWorld, taskCount: number, workMs: number): void => {
  const job = { team: 'kitchen', submissionKey: 'job-1', size: TASK_SIZE, taskCount, workMs };
  void world.operate(0, { intent: 'submit-job', urgency: 'normal', ...job });
};

const mapWorkerViews = (state: CellState, alter: (view: WorkerView) => WorkerView): CellState => ({
  ...state,
  workers: new Map([...state.workers].map(([id, view]) => [id, alter(view)])),
});

/** Returns a configuration view in which every zone is in use, so that a cell misses withdrawals. */
const ignoreWithdrawals = (view: ConfigurationView): ConfigurationView => ({
  ...view,
  zones: new Map(
    [...view.zones].map(([name, zone]) => [name, { ...zone, state: 'in-use' as const }]),
  ),
});

const CASES: readonly Case[] = [
  {
    guarantee: 'no instance is committed beyond its processors',
    brokenSafeguard: 'the scheduler assumes twice the capacity',
    safeguardFaults: {
      alterState: (state) =>
        mapWorkerViews(state, (view) => {
          const { capacity } = view.instance;
          const twice = { ...capacity, processorMillis: 16_000 };
          return { ...view, instance: { ...view.instance, capacity: twice } };
        }),
    },
    steps: async (world) => {
      submit(world, 40, 5_000);
      await world.runFor(6_000);
    },
    finding: /overcommitted/u,
  },
  {
    guarantee: 'no task runs in two places at once',
    brokenSafeguard: 'the scheduler treats the leases of a silent worker as over',
    safeguardFaults: {
      alterState: (state) =>
        mapWorkerViews(state, (view) => ({
          ...view,
          leasesOverAtMs: Math.min(view.leasesOverAtMs, view.reportedAtMs + 1_000),
        })),
    },
    steps: async (world) => {
      submit(world, 8, 9_000);
      await world.runFor(3_000);
      world.workers.forEach((worker) => Object.assign(worker, { isCut: !worker.id.endsWith('3') }));
      await world.runFor(8_000);
    },
    finding: /ran in two places/u,
  },
  {
    guarantee: 'an evicted task resumes exactly once from its checkpoint',
    brokenSafeguard: 'the start request omits the checkpoint',
    safeguardFaults: {
      alterCommand: (command) => ({
        ...command,
        starts: command.starts.map((start) => ({ ...start, checkpoint: null })),
      }),
    },
    steps: async (world) => {
      submit(world, 4, 9_000);
      await world.runFor(3_000);
      void world.operate(0, { intent: 'withdraw-zone', zone: ZONES[0] });
      await world.runFor(10_000);
    },
    finding: /did not resume from the checkpoint/u,
  },
  {
    guarantee: 'no task starts in a withdrawn zone',
    brokenSafeguard: 'the transaction has no zone condition and the cell ignores withdrawals',
    safeguardFaults: {
      alterView: ignoreWithdrawals,
      alterTransaction: (transaction) => ({
        ...transaction,
        conditions: transaction.conditions.filter(({ key }) => !key.startsWith(ZONE_PREFIX)),
      }),
    },
    steps: async (world) => {
      submit(world, 90, 2_000);
      await world.runFor(1_000);
      void world.operate(0, { intent: 'withdraw-zone', zone: ZONES[0] });
      await world.runFor(10_000);
    },
    finding: /starts in a withdrawn zone/u,
  },
  {
    guarantee: 'operators are told "not run" only for plans that did not run',
    brokenSafeguard: 'a lost answer is reported as "not run"',
    safeguardFaults: { isAlwaysReportedNotRun: true },
    steps: async (world) => {
      const planCount = (): number =>
        world.table.read({ keys: [], prefixes: ['plan/'] }).rows.length;
      const before = planCount();
      submit(world, 1, 1_000);
      // eslint-disable-next-line no-await-in-loop -- time passes in steps
      while (planCount() === before) await world.runFor(1);
      Object.assign(world.tableFaults, { lostRatio: 1 });
      await world.runFor(300);
      Object.assign(world.tableFaults, { isDown: true });
      await world.runFor(12_000);
    },
    finding: /"not run", but the plan was accepted/u,
  },
  {
    guarantee: 'a backend server in a withdrawn zone receives no new work',
    brokenSafeguard: 'the entry keeps its old routes',
    safeguardFaults: { hasStaleEntries: true },
    steps: async (world) => {
      const [server] = world.daemons[0]?.routes.get(SERVICE) ?? [];
      const zone = server?.availabilityZone ?? ZONES[0];
      void world.operate(0, { intent: 'withdraw-zone', zone });
      await world.runFor(6_000);
    },
    finding: /sends new work to zone-/u,
  },
  {
    guarantee: 'an accepted configuration never reverts',
    brokenSafeguard: 'the reader accepts older answers',
    safeguardFaults: { hasRevertingReaders: true },
    steps: async (world) => {
      Object.assign(world.tableFaults, { lateRatio: 0.5, lateDelayMs: 700 });
      Array.from({ length: 20 }, (_, index) => index).forEach((index) => {
        world.schedule(index * 2_000, () => {
          const [zone] = ZONES;
          const withdraw = { intent: 'withdraw-zone', zone } as const;
          const use = { intent: 'use-zone', zone, region: 'r' } as const;
          void world.operate(index, index % 2 === 0 ? use : withdraw);
        });
      });
      await world.runFor(45_000);
    },
    finding: /went back from/u,
  },
];

const runAndCollectFindings = async (
  steps: Steps,
  safeguardFaults: SafeguardFaults,
): Promise<string> => {
  const world = new SoakWorld(SEED, safeguardFaults);
  await world.start();
  await steps(world);
  try {
    assertNothingFound(world);
    return '';
  } catch (error) {
    return (error as Error).message;
  }
};

describe('the judge', () => {
  CASES.forEach(({ guarantee, brokenSafeguard, safeguardFaults, steps, finding }) =>
    it(`checks that ${guarantee} and fails if ${brokenSafeguard}`, async () => {
      expect(await runAndCollectFindings(steps, {})).toBe('');
      expect(await runAndCollectFindings(steps, safeguardFaults)).toMatch(finding);
    }),
  );
});
