import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../../base/common/random.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { LearningInterferenceControl } from '../../common/fleet/learningInterferenceControl.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, RunState, type TaskRun } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const TARGET_MS = 18;
const POLL_MS = 600;
/** Users notice a tail latency that is over its target for this long. */
const NOTICE_MS = 4_000;
/** Relative noise of single samples around the actual tail latency. */
const SAMPLE_NOISE = 0.3;
const CAPACITY = { processorMillis: 32_000, memoryBytes: 1_000_000, acceleratorCount: 0 };

const SERVING = { ...STEP, image: 'serves', targetLatencyMs: TARGET_MS, isPersistent: true };
const FILLER = { ...STEP, isFiller: true, size: { ...STEP.size, processorMillis: 3_500 } };

interface Scenario {
  readonly view: FleetWorkerView;
  readonly serving: readonly TaskRun[];
  readonly fillers: readonly TaskRun[];
}

const newScenario = (servingCount: number, fillerImages: readonly string[]): Scenario => {
  const registry = new SubmissionRegistry();
  const view = new FleetWorkerView(
    {
      id: 'worker',
      address: 'worker',
      serviceName: 'service',
      availabilityZone: 'zone',
      isDraining: false,
      capacity: CAPACITY,
      labels: [],
      rack: '',
      incarnation: 1,
    },
    0,
    0,
  );
  const steps = [
    { ...SERVING, taskCount: servingCount },
    ...fillerImages.map((image) => ({ ...FILLER, image })),
  ];
  registry.add(submissionOf('00000000000000d1', steps), undefined, NO_ASSIGNMENTS, 0);
  const runs = [...registry.waiting].map((task) => {
    const run = newRun(task, 1, 'worker', 0);
    run.state = RunState.Running;
    run.workedPercent = task.step.isPersistent ? 100 : 10;
    view.addRun(run);
    return run;
  });
  return {
    view,
    serving: runs.filter(({ task }) => !task.step.isFiller),
    fillers: runs.filter(({ task }) => task.step.isFiller),
  };
};

/** Polls every 600 ms; `tailMs` returns the actual tail latency of each serving task. */
const simulate = (
  scenario: Scenario,
  control: LearningInterferenceControl,
  random: SeededRandom,
  fromMs: number,
  untilMs: number,
  tailMs: (run: TaskRun, index: number) => number,
  amplitude = SAMPLE_NOISE,
): void => {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += POLL_MS) {
    scenario.serving.forEach((run, index) => {
      const noise = 1 + amplitude * (2 * random.nextFraction() - 1);
      run.recentMeasurement = Math.round(tailMs(run, index) * noise);
    });
    scenario.fillers.forEach((run) => {
      run.recentMeasurement = (run.task.step.size.processorMillis * run.pacePercent) / 100;
    });
    control.observe(scenario.view, nowMs);
    const { paces, moves } = control.decide(scenario.view, nowMs);
    if (paces.length + moves.length > 0) scenario.view.pacedAtMs = nowMs;
    paces.forEach(({ run, percent }) => {
      if (percent < run.pacePercent) run.paceLoweredAtMs = nowMs;
      run.pacePercent = percent;
    });
    moves.forEach((run) => scenario.view.removeRun(run));
  }
};

const isActive = ({ pacePercent }: TaskRun): boolean => pacePercent > 0;

describe('fillers beside serving tasks', () => {
  it.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])(
    'are suspended before users notice that one task is a fifth over its target (seed %i)',
    (seed) => {
      // The tail of one of six tasks of an image is a fifth over its target, and noise puts one in
      // four of its samples below the target. The mean over the six tasks doesn't show it. Users
      // notice after four seconds, so all fillers must be suspended by then.
      const scenario = newScenario(6, ['a', 'b', 'c']);
      const control = new LearningInterferenceControl();
      const random = new SeededRandom(seed);
      simulate(scenario, control, random, 0, 2_400, () => 8);
      simulate(scenario, control, random, 3_000, 3_000 + NOTICE_MS - POLL_MS, (_run, index) =>
        index === 0 ? TARGET_MS * 1.2 : 8,
      );
      expect(scenario.fillers.filter(isActive)).toEqual([]);
    },
  );

  it('are not started beside a task that is over its target', () => {
    const scenario = newScenario(6, []);
    const control = new LearningInterferenceControl();
    const filler = newScenario(0, ['a']).fillers[0] as TaskRun;
    const random = new SeededRandom(1);
    simulate(scenario, control, random, 0, 2_400, () => 8, 0);
    expect(control.admit(scenario.view, filler.task, 2_400)?.percent).toBe(100);
    simulate(scenario, control, random, 3_000, 4_200, (_run, index) => (index === 0 ? 24 : 8), 0);
    expect(control.admit(scenario.view, filler.task, 4_200)).toBeUndefined();
  });

  it('keep full pace while the tail latencies are well below their targets', () => {
    const scenario = newScenario(4, ['a', 'b', 'c']);
    simulate(scenario, new LearningInterferenceControl(), new SeededRandom(3), 0, 30_000, () => 8);
    expect(scenario.fillers.every(({ pacePercent }) => pacePercent === 100)).toBe(true);
  });

  it('are slowed only if they are antagonists', () => {
    // Fillers of two images run beside a service. The first raises the tails from 8 to 20 ms; the
    // second has run beside it for a while without slowing it. Only the first one is slowed.
    const scenario = newScenario(4, ['antagonist', 'benign']);
    const [antagonist, benign] = scenario.fillers as [TaskRun, TaskRun];
    const control = new LearningInterferenceControl();
    const random = new SeededRandom(5);
    scenario.view.removeRun(antagonist);
    simulate(scenario, control, random, 0, 6_000, () => 8);
    scenario.view.addRun(antagonist);
    simulate(scenario, control, random, 6_600, 7_800, () => 8 + antagonist.pacePercent * 0.12);
    expect(antagonist.pacePercent).toBeLessThan(100);
    expect(benign.pacePercent).toBe(100);
  });

  it('return to full pace after an overload that they did not cause', () => {
    // A burst of the service's own load overloads it for two seconds. The filler is slowed in the
    // meantime, and then returns to full pace because it has run there without interference.
    const scenario = newScenario(4, ['a']);
    const control = new LearningInterferenceControl();
    const random = new SeededRandom(7);
    simulate(scenario, control, random, 0, 6_000, () => 8);
    simulate(scenario, control, random, 6_600, 8_400, () => 40);
    expect(scenario.fillers[0]?.pacePercent).toBeLessThan(50);
    simulate(scenario, control, random, 9_000, 12_000, () => 6);
    expect(scenario.fillers[0]?.pacePercent).toBe(100);
  });

  it('go back into the queue if they stay throttled', () => {
    const scenario = newScenario(4, ['a']);
    const control = new LearningInterferenceControl();
    const random = new SeededRandom(7);
    simulate(scenario, control, random, 0, 9_000, () => 40);
    expect(scenario.view.runs.size).toBe(4);
  });
});

describe('a new owner', () => {
  it('uses the interference estimates of the previous owner', () => {
    // The previous owner has learnt that one image slows a service and another does not. After the
    // takeover, the new owner must not start the antagonist beside the service to learn it again.
    const scenario = newScenario(4, ['antagonist', 'benign']);
    const [antagonist, benign] = scenario.fillers as [TaskRun, TaskRun];
    const control = new LearningInterferenceControl();
    const random = new SeededRandom(5);
    scenario.view.removeRun(antagonist);
    simulate(scenario, control, random, 0, 6_000, () => 8);
    scenario.view.addRun(antagonist);
    for (let round = 0; round < 4; round += 1) {
      antagonist.pacePercent = 100;
      simulate(scenario, control, random, 6_600 + round * 600, 6_600 + round * 600, () => 40);
    }
    // Without the antagonist, only the benign filler runs beside the service, which recovers.
    scenario.view.removeRun(antagonist);
    simulate(scenario, control, random, 9_000, 15_000, () => 8);
    const successor = new LearningInterferenceControl();
    successor.inherit(control.learnt(), 15_000);
    const isAdmittedBy = (tested: LearningInterferenceControl, { task }: TaskRun): boolean => {
      const otherScenario = newScenario(4, []);
      const otherRandom = new SeededRandom(9);
      simulate(otherScenario, tested, otherRandom, 15_600, 36_000, () => 11);
      return tested.admit(otherScenario.view, task, 36_000)?.percent === 100;
    };
    expect(isAdmittedBy(control, antagonist)).toBe(false);
    expect(isAdmittedBy(successor, antagonist)).toBe(false);
    expect(isAdmittedBy(successor, benign)).toBe(true);
  });
});

describe('the stored estimates of many images', () => {
  it('fit into one row of the table and hold the most recently seen pairs', () => {
    // If callers use a new image for each submission, the estimates stored for the next owner could
    // grow until the table rejects the row, and no progress could be stored any more.
    const ROW_BYTES = 65_536;
    const control = new LearningInterferenceControl();
    const random = new SeededRandom(3);
    for (let count = 0; count < 600; count += 1) {
      const image = `${count}`.padStart(40, 'image');
      const scenario = newScenario(4, [image]);
      simulate(scenario, control, random, count * 3_000, count * 3_000 + 2_400, () => 8);
    }
    const learnt = control.learnt();
    expect(learnt.length).toBeGreaterThan(100);
    expect(learnt.at(-1)?.fillerImage).toMatch(/599$/u);
    expect(JSON.stringify(learnt).length * (4 / 3)).toBeLessThan(ROW_BYTES);
  });
});

describe('services with a periodic load', () => {
  /**
   * The tail latency without load. `tailOf` models waiting times, and `pressure` is the work that
   * batch work adds to each request, as a fraction.
   */
  const UNLOADED_TAIL_MS = 4;
  const PERIOD_MS = 10_000;
  /** Relative noise of samples of services that are not disturbed. */
  const UNDISTURBED_NOISE = 0.1;
  const loadAt = (nowMs: number): number =>
    0.42 * (1 + 0.5 * Math.sin((nowMs / PERIOD_MS) * 2 * Math.PI));

  const tailOf = (load: number, pressure: number): number => {
    const remainingCapacity = 1 - load * (1 + pressure);
    return remainingCapacity <= 0.02
      ? 200
      : (UNLOADED_TAIL_MS * (1 + pressure)) / remainingCapacity;
  };

  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'are not slowed by batch work at their peak load (seed %i)',
    (seed) => {
      // The load has a period of ten seconds. One image slows the service only at peak load; at low
      // load the tail stays well below the target beside it. The owner must not let it run into the
      // peak, where the tail would be several times the target, and must not stop the other image,
      // which is benign.
      const scenario = newScenario(4, ['antagonist', 'benign']);
      const [antagonist, benign] = scenario.fillers as [TaskRun, TaskRun];
      const control = new LearningInterferenceControl();
      const random = new SeededRandom(seed);
      let overMs = 0;
      let workedMs = 0;
      const untilMs = 60_000;
      for (let nowMs = 0; nowMs <= untilMs; nowMs += POLL_MS) {
        const pressure =
          0.4 *
          (scenario.view.runs.has(`${antagonist.task.name}#1`) ? antagonist.pacePercent / 100 : 0);
        const tailMs = tailOf(loadAt(nowMs), pressure);
        if (nowMs > PERIOD_MS && tailMs > TARGET_MS) overMs += POLL_MS;
        if (nowMs > PERIOD_MS) workedMs += (POLL_MS * antagonist.pacePercent) / 100;
        simulate(scenario, control, random, nowMs, nowMs, () => tailMs, UNDISTURBED_NOISE);
        // A moved filler returns at the next low load, as it would from the queue.
        const isAbsent = !scenario.view.runs.has(`${antagonist.task.name}#1`);
        if (isAbsent && control.admit(scenario.view, antagonist.task, nowMs)?.percent === 100) {
          antagonist.pacePercent = 100;
          scenario.view.addRun(antagonist);
        } else if (isAbsent) antagonist.pacePercent = 0;
      }
      expect(overMs).toBeLessThanOrEqual(0.05 * (untilMs - PERIOD_MS));
      expect(workedMs).toBeGreaterThan(0.25 * (untilMs - PERIOD_MS));
      expect(benign.pacePercent).toBe(100);
    },
  );
});
