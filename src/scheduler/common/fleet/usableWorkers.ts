/** Determines which workers tasks may start on, and the obstacles on the others. */
import {
  findQueueByName,
  type FleetConfiguration,
  type OperatorState,
} from '../../../services/fleet/common/fleetConfiguration.js';
import type { WorkerHealth } from '../workerHealth.js';
import { allowsReducedPace, isObstacle, rateWorker, type RatingContext } from './fleetPlacement.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import { PlacementObstacle } from './placementObstacle.js';
import type { RoomMisses } from './roomMisses.js';
import type { Roster } from './roster.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import type { TaskRecord } from './taskRecords.js';

/** The inputs of a placement round. */
export interface RoundInput {
  readonly registry: SubmissionRegistry;
  readonly views: ReadonlyMap<string, FleetWorkerView>;
  readonly operator: OperatorState;
  readonly health: WorkerHealth;
  readonly policy: FleetPolicy;
  readonly interference: InterferenceControl;
  readonly timing: FleetTiming;
  readonly epoch: number;
  readonly roster: Roster;
  readonly misses: RoomMisses;
  /** Workers at which a further start would wait to be sent. */
  readonly congestedWorkers: ReadonlySet<string>;
}

/** What decides whether tasks may start on a worker. */
export type WorkerTerms = Pick<RoundInput, 'timing' | 'roster' | 'operator'>;

/** Returns why no task may start on the worker now, or undefined if tasks may. */
const findWorkerObstacle = (
  view: FleetWorkerView,
  { timing, roster, operator }: WorkerTerms,
  nowMs: number,
): PlacementObstacle | undefined => {
  if (!view.isListed || !view.isEntryCurrent) return PlacementObstacle.Unlisted;
  if (view.entry.isDraining) return PlacementObstacle.Draining;
  const isKnown = view.knowsClock && !view.isNewProcess && !view.isSilent;
  if (!isKnown || !view.isFresh(timing, nowMs)) return PlacementObstacle.Unanswered;
  if (view.unknownRunCount > 0) return PlacementObstacle.Unsettled;
  if (!roster.isUnlimited(view.id)) return PlacementObstacle.LeasesLimited;
  return operator.withdrawnZones.has(view.entry.availabilityZone)
    ? PlacementObstacle.ZoneWithdrawn
    : undefined;
};

/** Whether tasks may start on the worker now. */
export const isUsable = (view: FleetWorkerView, terms: WorkerTerms, nowMs: number): boolean =>
  findWorkerObstacle(view, terms, nowMs) === undefined;

/** Returns why no further task may be placed on the worker now, or undefined if tasks may. */
const findPlacementObstacle = (
  view: FleetWorkerView,
  input: RoundInput,
  nowMs: number,
): PlacementObstacle | undefined =>
  findWorkerObstacle(view, input, nowMs) ??
  (input.congestedWorkers.has(view.id) ? PlacementObstacle.Congested : undefined);

/** The usable workers of one service. */
export interface ServicePool {
  readonly serviceName: string;
  readonly views: readonly FleetWorkerView[];
  readonly context: RatingContext;
}

/** The usable workers at `nowMs`, computed once for all tasks that are placed then. */
export class UsableWorkers {
  readonly all: readonly FleetWorkerView[];

  readonly #input: RoundInput;

  readonly #nowMs: number;

  readonly #viewsByService = new Map<string, FleetWorkerView[]>();

  readonly #pools = new Map<string, ServicePool>();

  constructor(input: RoundInput, nowMs: number) {
    this.#input = input;
    this.#nowMs = nowMs;
    this.all = [...input.views.values()].filter(
      (view) => findPlacementObstacle(view, input, nowMs) === undefined,
    );
    this.all.forEach((view) => {
      const { serviceName } = view.entry;
      const known = this.#viewsByService.get(serviceName);
      if (known === undefined) this.#viewsByService.set(serviceName, [view]);
      else known.push(view);
    });
  }

  /** The usable workers of the service that runs the task, by the configuration in force. */
  poolOf(task: TaskRecord, configuration: FleetConfiguration): ServicePool {
    const { submission } = task.submission;
    const queue = findQueueByName(configuration, submission.queueName);
    const serviceName = queue?.serviceName ?? submission.serviceName;
    const known = this.#pools.get(serviceName);
    if (known !== undefined) return known;
    const pool = this.#newPool(serviceName);
    this.#pools.set(serviceName, pool);
    return pool;
  }

  #newPool(serviceName: string): ServicePool {
    const { policy, interference, health } = this.#input;
    const views = this.#viewsByService.get(serviceName) ?? [];
    const faultRanking = policy.faultAvoidance.newRanking(views, health, this.#nowMs);
    return { serviceName, views, context: { policy, interference, faultRanking } };
  }
}

/** Counts the obstacles of a waiting task, one for each worker that would not take it. */
export const obstaclesOf = (
  task: TaskRecord,
  input: RoundInput,
  nowMs: number,
): ReadonlyMap<PlacementObstacle, number> => {
  const counts = new Map<PlacementObstacle, number>();
  const { configuration } = input.operator;
  if (configuration === undefined) return counts;
  const { serviceName, context } = new UsableWorkers(input, nowMs).poolOf(task, configuration);
  const allowsSlowStart = allowsReducedPace(task, nowMs);
  const obstacleOf = (view: FleetWorkerView): PlacementObstacle | undefined => {
    const obstacle = findPlacementObstacle(view, input, nowMs);
    if (obstacle !== undefined) return obstacle;
    if (view.entry.serviceName !== serviceName) return PlacementObstacle.OtherService;
    const rating = rateWorker(task, view, allowsSlowStart, context, nowMs);
    return isObstacle(rating) ? rating : undefined;
  };
  input.views.forEach((view) => {
    const obstacle = obstacleOf(view);
    if (obstacle !== undefined) counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
  });
  return counts;
};
