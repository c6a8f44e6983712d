/** Draws the submissions of one modelled day. */
import { type RandomSource, SeededRandom } from '../../src/base/common/random.js';
import type { Step, Submission } from '../../src/services/submissions/common/submission.js';
import type { BatchKind, FleetShape } from './fleetShape.js';
import {
  factorFrom,
  fillerImage,
  type FleetTruth,
  gapMsFrom,
  servingImage,
  spreadFrom,
} from './truth.js';

const FULL_TURN = 2 * Math.PI;
/** Tasks use a little less than they ask for. */
const LEAST_USE_SHARE = 0.7;
const ID_DIGITS = 16;

export interface BatchObjective {
  readonly kind: BatchKind;
  /** Work at full speed, in processor-seconds. */
  readonly processorSeconds: number;
  /** The longest chain of work at full speed. */
  readonly chainMs: number;
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

const wholeFrom = (value: number): number => Math.max(1, Math.round(value));

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

  /** All submissions in the order in which they come. */
  draw(): readonly Arrival[] {
    const { service, urgent, filler, burst, trafficFromMs, trafficUntilMs } = this.#shape;
    const arrivals: Arrival[] = [];
    for (let index = 0; index < service.initialCount; index += 1) {
      arrivals.push(this.#newService(0));
    }
    this.#times(service.submissionsPerSecond, 0, trafficUntilMs).forEach((atMs) =>
      arrivals.push(this.#newService(atMs)),
    );
    [urgent, filler].forEach((kind) =>
      this.#times(kind.submissionsPerSecond, trafficFromMs, trafficUntilMs).forEach((atMs) =>
        arrivals.push(this.#newBatch(kind, atMs)),
      ),
    );
    const extraPerSecond = filler.submissionsPerSecond * (burst.factor - 1);
    this.#times(extraPerSecond, burst.fromMs, burst.untilMs).forEach((atMs) =>
      arrivals.push(this.#newBatch(filler, atMs)),
    );
    return arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  #times(perSecond: number, fromMs: number, untilMs: number): readonly number[] {
    const times: number[] = [];
    let atMs = fromMs + gapMsFrom(this.#random, perSecond);
    while (atMs < untilMs) {
      times.push(atMs);
      atMs += gapMsFrom(this.#random, perSecond);
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
    const taskCount = wholeFrom(spreadFrom(random, service.taskCount));
    const processorMillis = Math.round(spreadFrom(random, service.processorMillis));
    const step: Step = {
      ...STEP,
      taskCount,
      size: { processorMillis, memoryBytes: service.memoryBytes, acceleratorCount: 0 },
      isPersistent: true,
      image,
      targetLatencyMs: service.targetLatencyMs,
    };
    const submission = this.#newSubmission(service.queueName, [step], atMs);
    const loadPhase = FULL_TURN * random.nextFraction();
    for (let index = 0; index < taskCount; index += 1) {
      this.#truth.tasks.set(`${submission.id}.0.0.${index}`, {
        ...{ image, processorMillis, loadPhase, workMs: Number.POSITIVE_INFINITY },
        ...{ isFiller: false, savesProgress: false, failureCount: 0 },
      });
    }
    const cancelledAtMs = atMs + spreadFrom(random, service.lifetimeMs);
    return { atMs, submission, batch: undefined, cancelledAtMs };
  }

  #newBatch(kind: BatchKind, atMs: number): Arrival {
    const random = this.#random;
    const stepCount = wholeFrom(spreadFrom(random, kind.stepCount));
    const savesProgress = random.nextFraction() < kind.savingShare;
    const image = kind.isFiller
      ? fillerImage(random.nextIndex(this.#shape.interference.fillerImageCount))
      : '';
    const drawn = Array.from({ length: stepCount }, (_, stepIndex) =>
      this.#newStep(kind, image, savesProgress, stepIndex),
    );
    const steps = drawn.map(({ step }) => step);
    const submission = this.#newSubmission(kind.queueName, steps, atMs);
    let processorSeconds = 0;
    let chainMs = 0;
    drawn.forEach(({ step, workMs, usedMillis }, stepIndex) => {
      let longestMs = 0;
      for (let index = 0; index < step.taskCount; index += 1) {
        const taskMs = workMs * (1 + kind.unevenness * (2 * random.nextFraction() - 1));
        longestMs = Math.max(longestMs, taskMs);
        processorSeconds += (taskMs * usedMillis) / 1e6;
        this.#truth.tasks.set(`${submission.id}.0.${stepIndex}.${index}`, {
          ...{ image, processorMillis: usedMillis, workMs: taskMs, loadPhase: undefined },
          ...{ isFiller: kind.isFiller, savesProgress },
          failureCount: random.nextFraction() < kind.failureShare ? 1 : 0,
        });
      }
      chainMs += longestMs;
    });
    const batch = { kind, processorSeconds, chainMs };
    return { atMs, submission, batch, cancelledAtMs: undefined };
  }

  #newStep(
    kind: BatchKind,
    image: string,
    savesProgress: boolean,
    stepIndex: number,
  ): { readonly step: Step; readonly workMs: number; readonly usedMillis: number } {
    const random = this.#random;
    const workMs = spreadFrom(random, kind.workMs);
    const processorMillis = Math.round(spreadFrom(random, kind.processorMillis));
    const step: Step = {
      ...STEP,
      taskCount: wholeFrom(spreadFrom(random, kind.taskCount)),
      size: { processorMillis, memoryBytes: kind.memoryBytes, acceleratorCount: 0 },
      estimateMs: Math.round(workMs * factorFrom(random, kind.estimateSigma)),
      after: stepIndex === 0 ? [] : [stepIndex - 1],
      savesProgress,
      image,
      isFiller: kind.isFiller,
    };
    const useShare = LEAST_USE_SHARE + (1 - LEAST_USE_SHARE) * random.nextFraction();
    return { step, workMs, usedMillis: Math.round(processorMillis * useShare) };
  }
}
