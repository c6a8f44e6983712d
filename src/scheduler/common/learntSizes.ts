/** Learns from reported usage how large the tasks of each kind really are. */
import {
  fitsInto,
  NO_RESOURCES,
  remainingResources,
  type Resources,
  sumResources,
} from '../../services/worker/common/resources.js';

/** The usage of a running task, as last reported. */
export interface UsageSample {
  readonly workerId: string;
  readonly attemptKey: string;
  /** Tasks of the same kind are assumed to need the same size. */
  readonly kind: string;
  readonly isService: boolean;
  readonly declared: Resources;
  readonly committed: Resources;
  readonly usage: Resources;
  /** True while the worker throttles the task below what it would use. */
  readonly isThrottled?: boolean;
}

/** Usage of one kind of task, as a ratio of the declared size. */
interface KindUsage {
  readonly processorRatio: number;
  /** Mean absolute deviation of single tasks from that ratio. */
  readonly deviation: number;
  /** The highest recent ratio, which decays over time. */
  readonly processorPeak: number;
  readonly memoryPeak: number;
  readonly sampleCount: number;
  readonly atMs: number;
}

/**
 * How long a task must have run before its usage counts: reports lag by some seconds, and a task
 * that has just started uses little.
 */
const SETTLING_TIME_MS = 10_000;
/** Samples of settled tasks that a kind needs before its learnt size is used. */
const MINIMUM_SAMPLES = 12;
/** A kind without samples for this long is forgotten, and its declared size applies again. */
const KIND_EXPIRY_MS = 1_800_000;
/**
 * Enough for 360 teams with a few kinds each. The kinds without samples for longest are dropped
 * first.
 */
const MAXIMUM_KINDS = 2_000;
const NEW_SAMPLE_WEIGHT = 0.3;
/** Peaks halve in a quarter of an hour, which is far longer than most tasks run. */
const PEAK_HALF_LIFE_MS = 900_000;

const PROCESSOR_MARGIN = 1.1;
const MEMORY_MARGIN = 1.25;
const MINIMUM_PROCESSOR_RATIO = 0.3;
const MINIMUM_MEMORY_RATIO = 0.6;
const MAXIMUM_PROCESSOR_RATIO = 3;
const MAXIMUM_MEMORY_RATIO = 16;
/** A task that uses at least this share of its committed size may be held back by the worker. */
const AT_LIMIT_SHARE = 0.97;
const AT_LIMIT_GROWTH = 1.5;

const ratioOf = (part: number, whole: number): number => (whole === 0 ? 1 : part / whole);

/** Adds the margin. The margin alone never raises a size above the declared one. */
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
 * Learns the size of each kind of task from usage. Designed for teams that declare half or twice
 * what their tasks use: with declared sizes, some workers idle while others are overloaded. The
 * committed size of a new task follows the usage of earlier tasks of its kind. The ledger holds
 * committed sizes, so a worker is never committed beyond its capacity. The owner of a cell learns
 * from its workers' reports and keeps the result in memory only: a new owner uses the declared
 * sizes until it has enough samples.
 *
 * - Batch processors follow the mean, plus twice the deviation between tasks, plus a tenth. A task
 *   that needs more is slowed for a while, which costs batch work little.
 * - Memory follows the highest recent usage plus a quarter, since a task that outgrows its memory
 *   is killed and loses its work since the last checkpoint.
 * - Sizes of services only grow. Their usage follows the load of the hour, and capacity that batch
 *   work takes in a quiet hour would be missing to callers in the next.
 * - Accelerators are allocated whole and stay as declared.
 */
export class LearntSizes {
  readonly #kinds: ReadonlyMap<string, KindUsage>;

  /** When each unthrottled attempt was first seen running, by attempt key. */
  readonly #firstSeenAtMs: ReadonlyMap<string, number>;

  /** The usage on each worker beyond what is committed there. */
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

  /** Adds one sample of every running task of the cell. */
  withSamples(samples: readonly UsageSample[], nowMs: number): LearntSizes {
    // The usage of a throttled task does not show what it would use. Its kind is learnt from other
    // tasks, and from this one only after it has run unthrottled for the settling time.
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

  /** The size to commit for a new task of the kind. */
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
   * The usage of a worker's tasks beyond their committed sizes. No new task is placed on that
   * capacity. The ledger keeps the committed sizes of running tasks: rewriting them would cost a
   * write for each change of usage, and could leave a worker committed beyond its capacity without
   * a scheduling error.
   */
  excess(workerId: string): Resources {
    return this.#excessByWorker.get(workerId) ?? NO_RESOURCES;
  }
}

/** A worker whose memory usage exceeds this share is about to kill tasks. */
const MEMORY_EVICTION_THRESHOLD = 0.95;
const MEMORY_EVICTION_TARGET = 0.9;

/**
 * Batch tasks to evict from a worker whose memory runs out: the ones that exceed their committed
 * memory most, and as few as bring the usage back to the target. A shortage of processors needs no
 * eviction, because the worker shares them out. An evicted task keeps its work up to now. A task
 * that the worker kills loses its work since the last checkpoint, and the worker may kill one that
 * kept to its size. The gap between the threshold and the target prevents repeated evictions while
 * the reports lag.
 */
export const tasksToEvictForMemory = (
  samples: readonly UsageSample[],
  capacity: Resources,
  leaving: ReadonlySet<string>,
): readonly string[] => {
  const remaining = samples.filter(({ attemptKey }) => !leaving.has(attemptKey));
  let usedBytes = sumResources(remaining.map(({ usage }) => usage)).memoryBytes;
  const committedBytes = sumResources(remaining.map(({ committed }) => committed)).memoryBytes;
  // A worker may be full because of tasks that stay within their committed sizes.
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

/** The learnt size, or the declared size if the learnt one fits no worker. */
export const learntSizeIfPlaceable = (
  learnt: Resources,
  declared: Resources,
  capacities: readonly Resources[],
): Resources => (capacities.some((capacity) => fitsInto(learnt, capacity)) ? learnt : declared);
