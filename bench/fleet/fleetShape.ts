/** The size and the load of a modelled fleet. */

/** A random figure: log-normal around its mean, cut at a maximum. */
export interface Spread {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly maximum: number;
}

export interface BatchKind {
  readonly queueName: string;
  readonly submissionsPerSecond: number;
  readonly stepCount: Spread;
  readonly taskCount: Spread;
  readonly workMs: Spread;
  readonly processorMillis: Spread;
  readonly memoryBytes: number;
  /** How far callers' estimates are off, as the standard deviation of the logarithm. */
  readonly estimateSigma: number;
  /** How much the tasks of one step differ in their work, as a share of it. */
  readonly unevenness: number;
  /** The share of runs that fail by themselves. */
  readonly failureShare: number;
  /** The share of submissions whose tasks save their progress. */
  readonly savingShare: number;
  readonly isFiller: boolean;
  /** In time is what ends within this many times its chain of work, and so much more. */
  readonly objectiveStretch: number;
  readonly objectiveMs: number;
  /** What a submission in time is worth on average, and one that is late. */
  readonly worth: number;
  readonly lateWorth: number;
}

export interface ServiceKind {
  readonly queueName: string;
  /** Submissions that are there from the start, and those that come later. */
  readonly initialCount: number;
  readonly submissionsPerSecond: number;
  readonly taskCount: Spread;
  readonly processorMillis: Spread;
  readonly memoryBytes: number;
  readonly lifetimeMs: Spread;
  readonly imageCount: number;
  readonly unloadedTailMs: number;
  readonly targetLatencyMs: number;
  /** Mean use of a task's own processors, and by how much of it the use swings. */
  readonly load: number;
  readonly loadSwing: number;
  readonly loadPeriodMs: number;
  /** What a submission is worth in each interval in which all its tasks serve well. */
  readonly worth: number;
  readonly worthIntervalMs: number;
}

export interface InterferenceShape {
  readonly fillerImageCount: number;
  /** The share of pairs of images that interfere much. */
  readonly strongShare: number;
  /** Range of what a worker full of a filler takes of a service's processors. */
  readonly strongFrom: number;
  readonly strongTo: number;
  readonly weakTo: number;
}

export interface FleetShape {
  readonly name: string;
  readonly workerCount: number;
  /** Capacities that workers have in turn. */
  readonly processorMillis: readonly number[];
  readonly memoryBytes: number;
  readonly service: ServiceKind;
  readonly urgent: BatchKind;
  readonly filler: BatchKind;
  readonly interference: InterferenceShape;
  /** When submissions begin to come, and when they stop. */
  readonly trafficFromMs: number;
  readonly trafficUntilMs: number;
  readonly endMs: number;
  /** A stretch in which more fillers come. */
  readonly burst: { readonly fromMs: number; readonly untilMs: number; readonly factor: number };
  /** Workers that leave for good without notice, and when. */
  readonly lostWorkerCount: number;
  readonly lossAtMs: number;
  /** Workers that fail all they start, and how long. */
  readonly faultyWorkerCount: number;
  readonly faultyFromMs: number;
  readonly faultyUntilMs: number;
  /** When the owner of the fleet dies; undefined for never. */
  readonly ownerDiesAtMs: number | undefined;
}

const MEGABYTE = 1_000_000;
const REFERENCE_WORKERS = 46;

/** A fleet of the reference load on `workerCount` workers. */
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
      loadSwing: 0.5,
      loadPeriodMs: 14_000,
      worth: 0.306,
      worthIntervalMs: 2_000,
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
      unevenness: 0.15,
      failureShare: 0.005,
      savingShare: 0,
      isFiller: false,
      objectiveStretch: 1.5,
      objectiveMs: 250,
      worth: 0.365,
      lateWorth: 0.0547,
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
      unevenness: 0.15,
      failureShare: 0.02,
      savingShare: 0.85,
      isFiller: true,
      objectiveStretch: 2,
      objectiveMs: 1_000,
      worth: 1.14,
      lateWorth: 0.171,
    },
    interference: {
      fillerImageCount: 9,
      strongShare: 0.4,
      strongFrom: 1,
      strongTo: 2.8,
      weakTo: 0.3,
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
    ownerDiesAtMs: 32_000,
  };
};

export const FLEET_SHAPES: readonly FleetShape[] = [shapeOf(46), shapeOf(342), shapeOf(860)];
