/** Size, load and fault parameters of the simulated fleets. */

/** A log-normal distribution with the given mean, capped at a maximum. */
export interface LogNormal {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly maximum: number;
}

export interface BatchKind {
  readonly queueName: string;
  readonly submissionsPerSecond: number;
  readonly stepCount: LogNormal;
  readonly taskCount: LogNormal;
  readonly workMs: LogNormal;
  readonly processorMillis: LogNormal;
  readonly memoryBytes: number;
  /** Error of the callers' duration estimates, as the standard deviation of the logarithm. */
  readonly estimateSigma: number;
  /** Maximum relative deviation of a task's work from the work of its step. */
  readonly workVariation: number;
  /** The share of tasks whose first run fails. */
  readonly failureShare: number;
  /** The share of submissions whose tasks save checkpoints. */
  readonly checkpointingShare: number;
  readonly isFiller: boolean;
  /** The completion objective is this multiple of the critical path, plus `objectiveMs`. */
  readonly objectiveStretch: number;
  readonly objectiveMs: number;
  /** Mean value of a submission that meets its objective, and of one that is late. */
  readonly value: number;
  readonly lateValue: number;
}

export interface ServiceKind {
  readonly queueName: string;
  /** Number of submissions at the start, and the arrival rate of later ones. */
  readonly initialCount: number;
  readonly submissionsPerSecond: number;
  readonly taskCount: LogNormal;
  readonly processorMillis: LogNormal;
  readonly memoryBytes: number;
  readonly lifetimeMs: LogNormal;
  readonly imageCount: number;
  readonly unloadedTailMs: number;
  readonly targetLatencyMs: number;
  /** Mean share of its own processors that a task uses, and the amplitude relative to that mean. */
  readonly load: number;
  readonly loadAmplitude: number;
  readonly loadPeriodMs: number;
  /** Value of a submission per interval during which all its tasks meet the latency target. */
  readonly value: number;
  readonly valueIntervalMs: number;
}

export interface InterferenceShape {
  readonly fillerImageCount: number;
  /** The share of image pairs with strong interference. */
  readonly strongShare: number;
  /**
   * Bounds of the interference cost: the share of a service's processors that a worker full of the
   * filler takes away. Weak costs start at 0.
   */
  readonly minimumStrongCost: number;
  readonly maximumStrongCost: number;
  readonly maximumWeakCost: number;
}

export interface FleetShape {
  readonly name: string;
  readonly workerCount: number;
  /** Worker capacities, assigned round-robin. */
  readonly processorMillis: readonly number[];
  readonly memoryBytes: number;
  readonly service: ServiceKind;
  readonly urgent: BatchKind;
  readonly filler: BatchKind;
  readonly interference: InterferenceShape;
  /** Period in which batch submissions arrive. Services arrive from 0 until its end. */
  readonly trafficFromMs: number;
  readonly trafficUntilMs: number;
  readonly endMs: number;
  /** A period with a higher arrival rate of fillers. */
  readonly burst: { readonly fromMs: number; readonly untilMs: number; readonly factor: number };
  /** Number of workers that crash for good, and when. */
  readonly lostWorkerCount: number;
  readonly lossAtMs: number;
  /** Number of workers on which every batch run fails, and when. */
  readonly faultyWorkerCount: number;
  readonly faultyFromMs: number;
  readonly faultyUntilMs: number;
  /** When the owner of the fleet crashes; undefined if it never does. */
  readonly ownerCrashesAtMs: number | undefined;
}

const MEGABYTE = 1_000_000;
const REFERENCE_WORKERS = 46;

/** Scales the reference load to `workerCount` workers. */
const shapeOf = (workerCount: number): FleetShape => {
  const scale = workerCount / REFERENCE_WORKERS;
  return {
    name: `${workerCount} workers`,
    workerCount,
    processorMillis: [16_000, 16_000, 24_000],
    memoryBytes: 62_500 * MEGABYTE,
    service: {
      queueName: 'service',
      initialCount: Math.round(36 * scale),
      submissionsPerSecond: 0.2 * scale,
      taskCount: { mean: 6, sigma: 0.4, maximum: 12 },
      processorMillis: { mean: 3_200, sigma: 0.25, maximum: 5_100 },
      memoryBytes: 6_400 * MEGABYTE,
      lifetimeMs: { mean: 140_000, sigma: 0.5, maximum: 300_000 },
      imageCount: 5,
      unloadedTailMs: 10,
      targetLatencyMs: 50,
      load: 0.45,
      loadAmplitude: 0.5,
      loadPeriodMs: 14_000,
      value: 0.306,
      valueIntervalMs: 2_000,
    },
    urgent: {
      queueName: 'urgent',
      submissionsPerSecond: 3.74 * scale,
      stepCount: { mean: 1.6, sigma: 0.4, maximum: 4 },
      taskCount: { mean: 6, sigma: 0.8, maximum: 36 },
      workMs: { mean: 800, sigma: 0.5, maximum: 2_000 },
      processorMillis: { mean: 1_500, sigma: 0.45, maximum: 4_400 },
      memoryBytes: 3_000 * MEGABYTE,
      estimateSigma: 0.5,
      workVariation: 0.15,
      failureShare: 0.005,
      checkpointingShare: 0,
      isFiller: false,
      objectiveStretch: 1.5,
      objectiveMs: 250,
      value: 0.365,
      lateValue: 0.0547,
    },
    filler: {
      queueName: 'filler',
      submissionsPerSecond: 5.99 * scale,
      stepCount: { mean: 2, sigma: 0.4, maximum: 5 },
      taskCount: { mean: 8, sigma: 0.6, maximum: 32 },
      workMs: { mean: 1_700, sigma: 0.5, maximum: 4_300 },
      processorMillis: { mean: 1_800, sigma: 0.3, maximum: 3_500 },
      memoryBytes: 3_200 * MEGABYTE,
      estimateSigma: 0.35,
      workVariation: 0.15,
      failureShare: 0.02,
      checkpointingShare: 0.85,
      isFiller: true,
      objectiveStretch: 2,
      objectiveMs: 1_000,
      value: 1.14,
      lateValue: 0.171,
    },
    interference: {
      fillerImageCount: 9,
      strongShare: 0.4,
      minimumStrongCost: 1,
      maximumStrongCost: 2.8,
      maximumWeakCost: 0.3,
    },
    trafficFromMs: 8_000,
    trafficUntilMs: 42_000,
    endMs: 56_000,
    burst: { fromMs: 16_000, untilMs: 22_000, factor: 1.3 },
    lostWorkerCount: Math.round(2 * scale),
    lossAtMs: 19_000,
    faultyWorkerCount: Math.round(2 * scale),
    faultyFromMs: 24_000,
    faultyUntilMs: 29_000,
    ownerCrashesAtMs: 32_000,
  };
};

/** Larger steps on larger workers. About 1,000 tasks a second are submitted with 380 workers. */
const wideShapeOf = (workerCount: number): FleetShape => {
  const shape = shapeOf(workerCount);
  const { service, urgent, filler } = shape;
  const scale = workerCount / 380;
  return {
    ...shape,
    processorMillis: [32_000],
    memoryBytes: 125_000 * MEGABYTE,
    service: {
      ...service,
      ...{ initialCount: Math.round(76 * scale), submissionsPerSecond: 0.41 * scale },
      taskCount: { mean: 24, sigma: 0.4, maximum: 48 },
      processorMillis: { mean: 3_900, sigma: 0.25, maximum: 6_200 },
    },
    urgent: {
      ...urgent,
      submissionsPerSecond: 9.61 * scale,
      taskCount: { mean: 9, sigma: 0.8, maximum: 54 },
      processorMillis: { mean: 6_100, sigma: 0.45, maximum: 17_900 },
    },
    filler: {
      ...filler,
      submissionsPerSecond: 10.9 * scale,
      taskCount: { mean: 39, sigma: 0.6, maximum: 156 },
      processorMillis: { mean: 3_500, sigma: 0.3, maximum: 6_800 },
    },
  };
};

/** Steps of tens of large tasks, services that take up most of the capacity, and a large burst. */
const crowdedShapeOf = (workerCount: number): FleetShape => {
  const shape = shapeOf(workerCount);
  const { service, urgent, filler, interference } = shape;
  const scale = workerCount / 342;
  return {
    ...shape,
    processorMillis: [64_000, 64_000, 96_000],
    memoryBytes: 250_000 * MEGABYTE,
    service: {
      ...service,
      ...{ initialCount: Math.round(114 * scale), submissionsPerSecond: 0.633 * scale },
      taskCount: { mean: 14, sigma: 0.4, maximum: 28 },
      processorMillis: { mean: 13_000, sigma: 0.25, maximum: 20_000 },
      memoryBytes: 26_000 * MEGABYTE,
      lifetimeMs: { mean: 70_000, sigma: 0.5, maximum: 210_000 },
      ...{ imageCount: 10, targetLatencyMs: 45, load: 0.42, value: 0.236 },
    },
    urgent: {
      ...urgent,
      submissionsPerSecond: 9.57 * scale,
      taskCount: { mean: 9.5, sigma: 0.8, maximum: 57 },
      processorMillis: { mean: 11_000, sigma: 0.45, maximum: 32_000 },
      memoryBytes: 22_000 * MEGABYTE,
      ...{ estimateSigma: 0.9, workVariation: 0.3, failureShare: 0.05 },
      ...{ objectiveMs: 305, value: 0.352, lateValue: 0.0528 },
    },
    filler: {
      ...filler,
      submissionsPerSecond: 19.4 * scale,
      taskCount: { mean: 20, sigma: 0.6, maximum: 80 },
      processorMillis: { mean: 7_000, sigma: 0.3, maximum: 14_000 },
      memoryBytes: 13_000 * MEGABYTE,
      ...{ estimateSigma: 0.2, value: 0.869, lateValue: 0.13 },
    },
    interference: { ...interference, fillerImageCount: 18 },
    burst: { fromMs: 16_000, untilMs: 22_000, factor: 1.4 },
  };
};

export const FLEET_SHAPES: readonly FleetShape[] = [
  shapeOf(46),
  crowdedShapeOf(57),
  shapeOf(342),
  crowdedShapeOf(342),
  wideShapeOf(380),
  shapeOf(860),
];
