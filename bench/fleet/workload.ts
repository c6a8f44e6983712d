/** Generates the submissions of one simulation. */
import { type RandomSource, SeededRandom } from '../../src/base/common/random.js';
import type { Step, Submission } from '../../src/services/submissions/common/submission.js';
import type { BatchKind, FleetShape } from './fleetShape.js';
import {
  factorFrom,
  fillerImage,
  type FleetTruth,
  interarrivalMsFrom,
  servingImage,
  sampleFrom,
} from './truth.js';

const TWO_PI = 2 * Math.PI;
/** Minimum share of its requested processors that a batch task uses. */
const MINIMUM_USE_SHARE = 0.7;
const ID_DIGITS = 16;

/** Size of a batch submission, from which its objective and value follow. */
export interface BatchObjective {
  readonly kind: BatchKind;
  /** Work at full speed, in processor-seconds. */
  readonly processorSeconds: number;
  /** Duration of the critical path at full speed. */
  readonly criticalPathMs: number;
}

export interface Arrival {
  readonly atMs: number;
  readonly submission: Submission;
  /** Undefined for a service. */
  readonly batch: BatchObjective | undefined;
  /** When a service is cancelled. */
  readonly cancelledAtMs: number | undefined;
}

const STEP: Step = {
  taskCount: 1,
  size: { processorMillis: 0, memoryBytes: 0, acceleratorCount: 0 },
  estimateMs: 0,
  after: [],
  isGang: false,
  prefersOneRack: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerWorker: 0,
  isSpeculative: false,
  isPersistent: false,
  savesProgress: false,
  image: '',
  targetLatencyMs: 0,
  isFiller: false,
  toleratedAwayCount: 0,
};

const positiveInteger = (value: number): number => Math.max(1, Math.round(value));

export class Workload {
  readonly #shape: FleetShape;

  readonly #truth: FleetTruth;

  readonly #random: RandomSource;

  #count = 0;

  constructor(shape: FleetShape, truth: FleetTruth, seed: number) {
    this.#shape = shape;
    this.#truth = truth;
    this.#random = new SeededRandom(seed);
  }

  /** Generates all submissions in order of arrival. */
  generate(): readonly Arrival[] {
    const { service, urgent, filler, burst, trafficFromMs, trafficUntilMs } = this.#shape;
    const arrivals: Arrival[] = [];
    for (let index = 0; index < service.initialCount; index += 1) {
      arrivals.push(this.#newService(0));
    }
    this.#arrivalTimes(service.submissionsPerSecond, 0, trafficUntilMs).forEach((atMs) =>
      arrivals.push(this.#newService(atMs)),
    );
    [urgent, filler].forEach((kind) =>
      this.#arrivalTimes(kind.submissionsPerSecond, trafficFromMs, trafficUntilMs).forEach((atMs) =>
        arrivals.push(this.#newBatch(kind, atMs)),
      ),
    );
    const extraPerSecond = filler.submissionsPerSecond * (burst.factor - 1);
    this.#arrivalTimes(extraPerSecond, burst.fromMs, burst.untilMs).forEach((atMs) =>
      arrivals.push(this.#newBatch(filler, atMs)),
    );
    return arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  #arrivalTimes(perSecond: number, fromMs: number, untilMs: number): readonly number[] {
    const times: number[] = [];
    let atMs = fromMs + interarrivalMsFrom(this.#random, perSecond);
    while (atMs < untilMs) {
      times.push(atMs);
      atMs += interarrivalMsFrom(this.#random, perSecond);
    }
    return times;
  }

  #newSubmission(queueName: string, steps: readonly Step[], atMs: number): Submission {
    this.#count += 1;
    return {
      id: this.#count.toString(16).padStart(ID_DIGITS, '0'),
      queueName,
      serviceName: 'fleet',
      spec: '',
      steps,
      occurrenceCount: 0,
      firstDueWallMs: 0,
      occurrenceIntervalMs: 0,
      acceptedWallMs: atMs,
    };
  }

  #newService(atMs: number): Arrival {
    const { service } = this.#shape;
    const random = this.#random;
    const image = servingImage(random.nextIndex(service.imageCount));
    const taskCount = positiveInteger(sampleFrom(random, service.taskCount));
    const processorMillis = Math.round(sampleFrom(random, service.processorMillis));
    const step: Step = {
      ...STEP,
      taskCount,
      size: { processorMillis, memoryBytes: service.memoryBytes, acceleratorCount: 0 },
      isPersistent: true,
      image,
      targetLatencyMs: service.targetLatencyMs,
    };
    const submission = this.#newSubmission(service.queueName, [step], atMs);
    const loadPhase = TWO_PI * random.nextFraction();
    for (let index = 0; index < taskCount; index += 1) {
      this.#truth.tasks.set(`${submission.id}.0.0.${index}`, {
        ...{ image, processorMillis, loadPhase, workMs: Number.POSITIVE_INFINITY },
        ...{ isFiller: false, savesProgress: false, failureCount: 0 },
      });
    }
    const cancelledAtMs = atMs + sampleFrom(random, service.lifetimeMs);
    return { atMs, submission, batch: undefined, cancelledAtMs };
  }

  #newBatch(kind: BatchKind, atMs: number): Arrival {
    const random = this.#random;
    const stepCount = positiveInteger(sampleFrom(random, kind.stepCount));
    const savesProgress = random.nextFraction() < kind.checkpointingShare;
    const image = kind.isFiller
      ? fillerImage(random.nextIndex(this.#shape.interference.fillerImageCount))
      : '';
    const generated = Array.from({ length: stepCount }, (_, stepIndex) =>
      this.#newStep(kind, image, savesProgress, stepIndex),
    );
    const steps = generated.map(({ step }) => step);
    const submission = this.#newSubmission(kind.queueName, steps, atMs);
    let processorSeconds = 0;
    let criticalPathMs = 0;
    generated.forEach(({ step, workMs, usedMillis }, stepIndex) => {
      let longestMs = 0;
      for (let index = 0; index < step.taskCount; index += 1) {
        const taskMs = workMs * (1 + kind.workVariation * (2 * random.nextFraction() - 1));
        longestMs = Math.max(longestMs, taskMs);
        processorSeconds += (taskMs * usedMillis) / 1e6;
        this.#truth.tasks.set(`${submission.id}.0.${stepIndex}.${index}`, {
          ...{ image, processorMillis: usedMillis, workMs: taskMs, loadPhase: undefined },
          ...{ isFiller: kind.isFiller, savesProgress },
          failureCount: random.nextFraction() < kind.failureShare ? 1 : 0,
        });
      }
      criticalPathMs += longestMs;
    });
    const batch = { kind, processorSeconds, criticalPathMs };
    return { atMs, submission, batch, cancelledAtMs: undefined };
  }

  #newStep(
    kind: BatchKind,
    image: string,
    savesProgress: boolean,
    stepIndex: number,
  ): { readonly step: Step; readonly workMs: number; readonly usedMillis: number } {
    const random = this.#random;
    const workMs = sampleFrom(random, kind.workMs);
    const processorMillis = Math.round(sampleFrom(random, kind.processorMillis));
    const step: Step = {
      ...STEP,
      taskCount: positiveInteger(sampleFrom(random, kind.taskCount)),
      size: { processorMillis, memoryBytes: kind.memoryBytes, acceleratorCount: 0 },
      estimateMs: Math.round(workMs * factorFrom(random, kind.estimateSigma)),
      after: stepIndex === 0 ? [] : [stepIndex - 1],
      savesProgress,
      image,
      isFiller: kind.isFiller,
    };
    const useShare = MINIMUM_USE_SHARE + (1 - MINIMUM_USE_SHARE) * random.nextFraction();
    return { step, workMs, usedMillis: Math.round(processorMillis * useShare) };
  }
}
