/** Learns from usage how large tasks really are, kind by kind. */
import {
  fitsInto,
  NO_RESOURCES,
  remainingResources,
  type Resources,
  sumResources,
} from '../../services/worker/common/resources.js';

/** What a running task uses, as last reported. */
export interface UsageSample {
  readonly workerId: string;
  readonly attemptKey: string;
  /** Tasks of one kind are taken to be alike. */
  readonly kind: string;
  readonly isService: boolean;
  readonly declared: Resources;
  readonly committed: Resources;
  readonly usage: Resources;
  /** True while the worker lets the task have less than it would use. */
  readonly isThrottled?: boolean;
}

/** Use beside the declared size, of one kind. */
interface KindUsage {
  readonly processorRatio: number;
  /** How far single tasks are from that. */
  readonly deviation: number;
  /** The highest use of late, which fades. */
  readonly processorPeak: number;
  readonly memoryPeak: number;
  readonly sampleCount: number;
  readonly atMs: number;
}

/** A report tells of use some seconds ago, and a task that has just started does not use much. */
const SETTLING_TIME_MS = 10_000;
/** Samples of settled tasks before a kind's size is gone by. */
const MINIMUM_SAMPLES = 12;
/** What has not been seen for so long is forgotten, and the declared size holds again. */
const KIND_EXPIRY_MS = 1_800_000;
/** 360 teams with a few kinds each; the ones not seen for longest go first. */
const MAXIMUM_KINDS = 2_000;
const NEW_SAMPLE_WEIGHT = 0.3;
/** Peaks of memory fade to a half in a quarter of an hour, far slower than tasks come and go. */
const PEAK_HALF_LIFE_MS = 900_000;

const PROCESSOR_MARGIN = 1.1;
const MEMORY_MARGIN = 1.25;
const MINIMUM_PROCESSOR_RATIO = 0.3;
const MINIMUM_MEMORY_RATIO = 0.6;
const MAXIMUM_PROCESSOR_RATIO = 3;
const MAXIMUM_MEMORY_RATIO = 16;
/** Use this close to what was committed may be all that the worker let the task have. */
const AT_LIMIT_SHARE = 0.97;
const AT_LIMIT_GROWTH = 1.5;

const ratioOf = (part: number, whole: number): number => (whole === 0 ? 1 : part / whole);

/** A margin alone brings a size up to what was declared and no further. */
const withMargin = (ratio: number, margin: number): number =>
  ratio > 1 ? ratio * margin : Math.min(1, ratio * margin);

const clamp = (minimum: number, value: number, maximum: number): number =>
  Math.min(maximum, Math.max(minimum, value));

const processorRatioOf = ({ usage, committed, declared }: UsageSample): number => {
  const ratio = ratioOf(usage.processorMillis, declared.processorMillis);
  const isAtLimit =
    committed.processorMillis < declared.processorMillis &&
    usage.processorMillis >= committed.processorMillis * AT_LIMIT_SHARE;
  return isAtLimit ? ratio * AT_LIMIT_GROWTH : ratio;
};

const average = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const decayedPeak = (peak: number, elapsedMs: number): number =>
  peak * 0.5 ** (elapsedMs / PEAK_HALF_LIFE_MS);

const withKindSamples = (
  known: KindUsage | undefined,
  samples: readonly UsageSample[],
  nowMs: number,
): KindUsage => {
  const ratios = samples.map(processorRatioOf);
  const mean = average(ratios);
  const deviation = average(ratios.map((ratio) => Math.abs(ratio - mean)));
  const processorPeak = Math.max(...ratios);
  const memoryPeak = Math.max(
    ...samples.map(({ usage, declared }) => ratioOf(usage.memoryBytes, declared.memoryBytes)),
  );
  if (known === undefined) {
    const sampleCount = samples.length;
    return { processorRatio: mean, deviation, processorPeak, memoryPeak, sampleCount, atMs: nowMs };
  }
  const elapsedMs = nowMs - known.atMs;
  return {
    processorRatio: known.processorRatio + NEW_SAMPLE_WEIGHT * (mean - known.processorRatio),
    deviation: known.deviation + NEW_SAMPLE_WEIGHT * (deviation - known.deviation),
    processorPeak: Math.max(processorPeak, decayedPeak(known.processorPeak, elapsedMs)),
    memoryPeak: Math.max(memoryPeak, decayedPeak(known.memoryPeak, elapsedMs)),
    sampleCount: known.sampleCount + samples.length,
    atMs: nowMs,
  };
};

const groupSamples = <Key extends 'kind' | 'workerId'>(
  samples: readonly UsageSample[],
  key: Key,
): ReadonlyMap<string, readonly UsageSample[]> => {
  const groups = new Map<string, UsageSample[]>();
  samples.forEach((sample) => {
    const known = groups.get(sample[key]);
    if (known === undefined) groups.set(sample[key], [sample]);
    else known.push(sample);
  });
  return groups;
};

/**
 * Made for teams that declare half or twice what their tasks use: by declared sizes some workers
 * idle while others are overrun. What is committed for a new task follows what tasks of its kind
 * have used, and the ledger holds that, so that no worker is ever committed beyond its capacity
 * by what the cell goes by. Learnt by a cell's owner from its workers' reports and kept in memory
 * only: a new owner goes by the declared sizes until it has seen enough.
 *
 * - Batch processors follow the mean, with twice the spread between tasks and a tenth on top: a
 *   task that wants more is slowed for a while, which costs batch work little.
 * - Memory follows the highest use of late with a quarter on top, since a task that outgrows its
 *   memory is killed and its work since the last checkpoint lost.
 * - Services only grow. Their use follows the load of the hour, and room that batch work has
 *   taken in a quiet one is missing to callers in the next.
 * - Accelerators are taken whole and stay as declared.
 */
export class LearntSizes {
  readonly #kinds: ReadonlyMap<string, KindUsage>;

  /** When tasks were first seen running, by attempt. */
  readonly #firstSeenAtMs: ReadonlyMap<string, number>;

  /** What tasks use on each worker beyond what is committed there. */
  readonly #excessByWorker: ReadonlyMap<string, Resources>;

  constructor(
    kinds: ReadonlyMap<string, KindUsage> = new Map(),
    firstSeenAtMs: ReadonlyMap<string, number> = new Map(),
    excessByWorker: ReadonlyMap<string, Resources> = new Map(),
  ) {
    this.#kinds = kinds;
    this.#firstSeenAtMs = firstSeenAtMs;
    this.#excessByWorker = excessByWorker;
  }

  get kindCount(): number {
    return this.#kinds.size;
  }

  /** Takes in what all tasks of the cell use now. */
  withSamples(samples: readonly UsageSample[], nowMs: number): LearntSizes {
    // What a throttled task would use is not known: its kind is learnt from the others, and from
    // this one only once it has run long enough without a throttle for its usage to show it.
    const unthrottled = samples.filter(({ isThrottled }) => isThrottled !== true);
    const firstSeenAtMs = new Map(
      unthrottled.map(({ attemptKey }) => [
        attemptKey,
        this.#firstSeenAtMs.get(attemptKey) ?? nowMs,
      ]),
    );
    const settled = unthrottled.filter(
      ({ attemptKey }) => nowMs - (firstSeenAtMs.get(attemptKey) ?? nowMs) >= SETTLING_TIME_MS,
    );
    const kinds = new Map([...this.#kinds].filter(([, { atMs }]) => nowMs - atMs < KIND_EXPIRY_MS));
    groupSamples(settled, 'kind').forEach((kindSamples, kind) => {
      const known = kinds.get(kind);
      kinds.delete(kind);
      kinds.set(kind, withKindSamples(known, kindSamples, nowMs));
    });
    const overflowCount = Math.max(0, kinds.size - MAXIMUM_KINDS);
    [...kinds.keys()].slice(0, overflowCount).forEach((kind) => kinds.delete(kind));
    const excessByWorker = [...groupSamples(samples, 'workerId')].map(
      ([workerId, workerSamples]) => {
        const used = sumResources(workerSamples.map(({ usage }) => usage));
        const committed = sumResources(workerSamples.map((sample) => sample.committed));
        return [workerId, remainingResources(used, committed)] as const;
      },
    );
    return new LearntSizes(kinds, firstSeenAtMs, new Map(excessByWorker));
  }

  /** What to commit for a new task of the kind. */
  size(kind: string, isService: boolean, declared: Resources): Resources {
    const usage = this.#kinds.get(kind);
    if (usage === undefined || usage.sampleCount < MINIMUM_SAMPLES) return declared;
    const wantedProcessorRatio = isService
      ? Math.max(1, usage.processorPeak)
      : withMargin(usage.processorRatio + 2 * usage.deviation, PROCESSOR_MARGIN);
    const wantedMemoryRatio = isService
      ? Math.max(1, usage.memoryPeak)
      : withMargin(usage.memoryPeak, MEMORY_MARGIN);
    const processorRatio = clamp(
      MINIMUM_PROCESSOR_RATIO,
      wantedProcessorRatio,
      MAXIMUM_PROCESSOR_RATIO,
    );
    const memoryRatio = clamp(MINIMUM_MEMORY_RATIO, wantedMemoryRatio, MAXIMUM_MEMORY_RATIO);
    return {
      processorMillis: Math.ceil(declared.processorMillis * processorRatio),
      memoryBytes: Math.ceil(declared.memoryBytes * memoryRatio),
      acceleratorCount: declared.acceleratorCount,
    };
  }

  /**
   * What a worker's tasks use beyond their committed sizes. The ledger of running tasks is not
   * rewritten for it, which would cost a write for each change of use and could leave a worker
   * committed beyond its capacity with nobody at fault. No new task is put on top of it instead.
   */
  excess(workerId: string): Resources {
    return this.#excessByWorker.get(workerId) ?? NO_RESOURCES;
  }
}

/** A worker this full of memory in use is about to kill tasks. */
const MEMORY_EVICTION_THRESHOLD = 0.95;
const MEMORY_EVICTION_TARGET = 0.9;

/**
 * Batch tasks that have to leave a worker whose memory runs out: those that use most beyond what
 * was committed for them, as few as bring it down again. Processors that run short are shared out
 * by the worker and need no eviction. An eviction keeps the work up to now; a task that the
 * worker kills loses what came after its last checkpoint, and it may be another's that is killed.
 * The gap between the two shares keeps the lag of the reports from evicting again and again.
 */
export const tasksToEvictForMemory = (
  samples: readonly UsageSample[],
  capacity: Resources,
  leaving: ReadonlySet<string>,
): readonly string[] => {
  const remaining = samples.filter(({ attemptKey }) => !leaving.has(attemptKey));
  let usedBytes = sumResources(remaining.map(({ usage }) => usage)).memoryBytes;
  const committedBytes = sumResources(remaining.map(({ committed }) => committed)).memoryBytes;
  // A worker may be filled to the brim by tasks that keep to what they were given.
  const isFull = usedBytes > capacity.memoryBytes * MEMORY_EVICTION_THRESHOLD;
  if (!isFull || usedBytes <= committedBytes) return [];
  const chosen: string[] = [];
  const excessBytes = ({ usage, committed }: UsageSample): number =>
    usage.memoryBytes - committed.memoryBytes;
  [...remaining]
    .filter((sample) => !sample.isService && excessBytes(sample) > 0)
    .sort((left, right) => excessBytes(right) - excessBytes(left))
    .forEach(({ attemptKey, usage }) => {
      if (usedBytes <= capacity.memoryBytes * MEMORY_EVICTION_TARGET) return;
      usedBytes -= usage.memoryBytes;
      chosen.push(attemptKey);
    });
  return chosen;
};

/** The learnt size, or the declared one when no worker would be large enough for the former. */
export const learntSizeIfPlaceable = (
  learnt: Resources,
  declared: Resources,
  capacities: readonly Resources[],
): Resources => (capacities.some((capacity) => fitsInto(learnt, capacity)) ? learnt : declared);
