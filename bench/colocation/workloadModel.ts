/**
 * The ground truth of the load model: what services and batch kinds really use, and how much each
 * kind slows each service. The product only gets the sizes that a team would declare.
 */
import type { Resources } from '../../src/services/worker/common/resources.js';

const GIBIBYTE = 1024 ** 3;
const MS_PER_MINUTE = 60_000;

export interface ServiceModel {
  readonly name: string;
  readonly declared: Resources;
  /** The share of its declared processors that a replica uses at full load. */
  readonly useRatio: number;
  readonly baseLatencyMs: number;
  /** Requests per second to one replica at full load. */
  readonly fullRate: number;
}

export interface BatchKind {
  /** The team that submits the kind. */
  readonly name: string;
  readonly declared: Resources;
  readonly declaredWorkMs: number;
  /** The ratios of true processor use and run time to the declared ones. */
  readonly useRatio: number;
  readonly workRatio: number;
  /** The share of all jobs. */
  readonly share: number;
  /**
   * The pressure on a service: the slowdown at full load if the kind used a whole worker. The
   * slowdown grows with the service's load, and the pressure may change over time.
   */
  readonly pressure: (serviceName: string, nowMs: number) => number;
  /** The share of the pressure that throttling does not reduce. */
  readonly rigidShare: number;
  /** The interval at which a task checkpoints by itself. An eviction loses the work since then. */
  readonly checkpointIntervalMs: number;
}

export interface ColocationSize {
  readonly name: string;
  readonly workerCount: number;
  readonly rackSize: number;
  readonly capacity: Resources;
  readonly services: readonly ServiceModel[];
  readonly replicaCount: number;
  readonly kinds: readonly BatchKind[];
  /** Arriving batch work as a share of the capacity that services leave on all workers. */
  readonly demand: number;
}

/** The time after a start before a task makes progress. */
export const RESTART_COST_MS = 5_000;

/** The services' load between 0 and 1, a wave with a period of four minutes. */
export const loadAt = (nowMs: number): number =>
  0.62 + 0.23 * Math.sin((2 * Math.PI * nowMs) / (4 * MS_PER_MINUTE));

const NOISY_PERIOD_MS = 100_000;
const NOISY_MS = 35_000;
const isNoisyPhase = (nowMs: number): boolean => nowMs % NOISY_PERIOD_MS < NOISY_MS;

/** The time from which the kind `shifting` slows the critical service and no longer the other. */
export const SHIFT_AT_MS = 240_000;

const LOW_PRESSURE = 0.05;

const resources = (processors: number, gibibytes: number): Resources => ({
  processorMillis: processors * 1_000,
  memoryBytes: gibibytes * GIBIBYTE,
  acceleratorCount: 0,
});

const service = (name: string, processors: number, baseLatencyMs: number): ServiceModel => ({
  name,
  declared: resources(processors, 8),
  useRatio: 0.7,
  baseLatencyMs,
  fullRate: 200,
});

/** `factor` scales declared sizes with the size of the workers: 1 for 32 cores. */
const kindsFor = (critical: string, other: string, factor: number): readonly BatchKind[] => {
  const kind = (
    name: string,
    processors: number,
    ratios: readonly [useRatio: number, workRatio: number, share: number],
    pressure: BatchKind['pressure'],
    overrides: Partial<BatchKind> = {},
  ): BatchKind => ({
    name,
    declared: resources(processors * factor, 4 * factor),
    declaredWorkMs: 60_000,
    useRatio: ratios[0],
    workRatio: ratios[1],
    share: ratios[2],
    pressure,
    rigidShare: 0.2,
    checkpointIntervalMs: 20_000,
    ...overrides,
  });
  const pressureOn =
    (target: string, amount: number): BatchKind['pressure'] =>
    (name) =>
      name === target ? amount : LOW_PRESSURE;
  return [
    kind('quiet', 4, [0.6, 1.6, 0.3], () => LOW_PRESSURE),
    kind('hungry', 3, [1.3, 0.7, 0.16], () => 0.1),
    kind('cache', 3, [0.9, 2.2, 0.16], pressureOn(critical, 4)),
    kind('disk', 4, [0.5, 1.2, 0.14], pressureOn(other, 5), { rigidShare: 0.7 }),
    kind('noisy', 3, [1.1, 1.8, 0.12], (name, nowMs) =>
      name === critical && isNoisyPhase(nowMs) ? 6 : LOW_PRESSURE,
    ),
    kind(
      'shifting',
      4,
      [0.8, 2.4, 0.12],
      (name, nowMs) => (name === (nowMs < SHIFT_AT_MS ? other : critical) ? 3 : LOW_PRESSURE),
      { checkpointIntervalMs: 60_000 },
    ),
  ];
};

export const AMMAN: ColocationSize = {
  name: 'amman',
  workerCount: 35,
  rackSize: 8,
  capacity: resources(32, 125),
  services: [service('rounds', 8, 20), service('carers', 8, 30)],
  replicaCount: 17,
  kinds: kindsFor('rounds', 'carers', 1),
  demand: 0.55,
};

export const BAJIO: ColocationSize = {
  name: 'bajio',
  workerCount: 45,
  rackSize: 10,
  capacity: resources(64, 250),
  services: [service('proofs', 12, 40), service('orders', 12, 25)],
  replicaCount: 22,
  kinds: kindsFor('proofs', 'orders', 2),
  demand: 0.6,
};

/** Returns the kind from a task id. Job ids are `KIND.N`, task ids `KIND.N/INDEX`. */
export const kindOfTask = (size: ColocationSize, taskId: string): BatchKind | undefined => {
  const name = taskId.split('.')[0];
  return size.kinds.find((kind) => kind.name === name);
};
