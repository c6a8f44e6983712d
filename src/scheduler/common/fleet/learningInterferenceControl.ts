/** Throttles or moves fillers that slow serving tasks, by learnt interference. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import {
  type Admission,
  type InterferenceChanges,
  type InterferenceControl,
  NO_CHANGES,
  type PaceChange,
} from './interferenceControl.js';
import {
  InterferenceModel,
  type InterferenceOptions,
  DEFAULT_INTERFERENCE_OPTIONS,
} from './interferenceModel.js';
import { fillerRuns, isAnyOverTarget, servingRuns } from './headroom.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';

/** Time for a change of pace to take effect and to be covered by a complete sample. */
const SETTLING_MS = 550;
/** Forecast horizon: the time until a change of pace affects the latency of users. */
const FORECAST_MS = 1_200;
/** Below the first expected headroom, fillers are slowed until it reaches the second. */
const LOW_HEADROOM = 1.05;
const WANTED_HEADROOM = 1.1;
/** Expected headroom that must remain when fillers are sped up again. */
const SPARE_HEADROOM = 1.18;
/** Headroom that a service must keep in the next seconds beside a newly started filler. */
const START_HEADROOM = 1.02;
/** The lowest pace at which a filler is started. */
const MINIMUM_START_PERCENT = 10;
/** A filler that takes less headroom than this does not count as an antagonist. */
const ANTAGONIST_LOSS = 0.05;
/**
 * If a tail latency is over its target for the first duration, every filler that may be the cause
 * is suspended. After the second, all fillers are, because a task may be slowed more than other
 * tasks of its image. Users notice after about four seconds, and two polls and a change of pace
 * take 1.5 s.
 */
const SUSPEND_SUSPECTS_AFTER_MS = 1_200;
const SUSPEND_ALL_AFTER_MS = 1_800;
/** Worst-case headroom loss at full pace from which a filler counts as a possible cause. */
const SUSPECT_LOSS = 0.15;
/**
 * A filler that saves its progress and takes at least this much headroom is moved: a move costs one
 * or two seconds, while a suspended filler makes no progress at all.
 */
const MOVED_LOSS = 0.15;
/**
 * A filler that has been throttled below this pace for this long goes back into the queue, even if
 * it loses unsaved progress: at a higher pace it would slow the same tasks again.
 */
const THROTTLED_PERCENT = 50;
const THROTTLED_LIMIT_MS = 2_500;
/** Below this pace a filler is suspended: it would do little work for the memory it holds. */
const MINIMUM_PERCENT = 10;
const FULL_PERCENT = 100;

/** The image with the lowest expected headroom. */
interface LowestHeadroom {
  readonly image: string;
  readonly headroom: number;
}

const isThrottledTooLong = (
  { pacePercent, paceLoweredAtMs, plannedPercent }: TaskRun,
  nowMs: number,
): boolean =>
  pacePercent < THROTTLED_PERCENT &&
  plannedPercent >= THROTTLED_PERCENT &&
  nowMs - paceLoweredAtMs >= THROTTLED_LIMIT_MS;

/**
 * Protects services whose tail latency rises within seconds because of heavier batch work beside
 * them or of their own load. Slows only the few batch images that interfere.
 */
export class LearningInterferenceControl implements InterferenceControl {
  readonly #model: InterferenceModel;

  constructor(options: InterferenceOptions = DEFAULT_INTERFERENCE_OPTIONS) {
    this.#model = new InterferenceModel(options);
  }

  inherit(pairs: LearntInterference, nowMs: number): void {
    this.#model.inherit(pairs, nowMs);
  }

  learnt(): LearntInterference {
    return this.#model.learnt();
  }

  observe(view: FleetWorkerView, nowMs: number): void {
    this.#model.observe(view, nowMs);
  }

  /**
   * A filler of a known image is admitted where the services have headroom for it in the next
   * seconds; it is slowed or moved when the load rises. An unknown image is tried where there is
   * headroom for its worst case, one filler at a time, as its effect shows within a second.
   */
  admit(view: FleetWorkerView, filler: TaskRecord, nowMs: number): Admission | undefined {
    const forecast = this.#model.forecast(view, nowMs);
    // Checked per task: the median of a group hides a task that is slowed more than the others.
    if (forecast.isAnyOverTarget) return undefined;
    let percent = FULL_PERCENT;
    let headroom = Number.POSITIVE_INFINITY;
    forecast.groups.forEach(({ image, atPeakLoad, soon, soonWorstCase, hasUnknownFiller }) => {
      const { isKnown, loss, worstLoss } = this.#model.fillerLoss(image, filler, view);
      headroom = Math.min(headroom, atPeakLoad - loss);
      const available = (isKnown ? soon : soonWorstCase) - START_HEADROOM;
      const expectedLoss = isKnown ? loss : worstLoss;
      if (expectedLoss > available)
        percent = Math.min(percent, Math.floor((FULL_PERCENT * available) / expectedLoss));
      if (!isKnown && hasUnknownFiller) percent = 0;
    });
    return percent < MINIMUM_START_PERCENT ? undefined : { percent, headroom };
  }

  decide(view: FleetWorkerView, nowMs: number): InterferenceChanges {
    if (nowMs - view.pacedAtMs < SETTLING_MS) return NO_CHANGES;
    if (view.pacingSampledAtMs === view.sampledAtMs) return NO_CHANGES;
    view.pacingSampledAtMs = view.sampledAtMs;
    const fillers = fillerRuns(view);
    if (fillers.length === 0) return NO_CHANGES;
    const { paces, moves } = this.#decideChanges(view, fillers, nowMs);
    const changed = new Set([...paces.map(({ run }) => run), ...moves]);
    const throttled = fillers.filter((run) => !changed.has(run) && isThrottledTooLong(run, nowMs));
    return { paces, moves: [...moves, ...throttled] };
  }

  #decideChanges(
    view: FleetWorkerView,
    fillers: readonly TaskRun[],
    nowMs: number,
  ): InterferenceChanges {
    const serving = servingRuns(view);
    const suspended = this.#fillersToSuspend(view, serving, fillers, nowMs);
    if (suspended.length > 0) {
      return { paces: suspended.map((run) => ({ run, percent: 0 })), moves: [] };
    }
    const lowest = this.#lowestHeadroom(view, nowMs);
    if (lowest !== undefined && lowest.headroom < LOW_HEADROOM) {
      return this.#slowDown(view, lowest, fillers);
    }
    // A task over its target may be slowed more than its image's estimate, so nothing speeds up.
    if (isAnyOverTarget(view)) return NO_CHANGES;
    return { paces: this.#speedUp(view, fillers, nowMs), moves: [] };
  }

  /** The fillers to suspend because tasks have been over their targets for too long. */
  #fillersToSuspend(
    view: FleetWorkerView,
    serving: readonly TaskRun[],
    fillers: readonly TaskRun[],
    nowMs: number,
  ): readonly TaskRun[] {
    const overMs = ({ overTargetSinceMs }: TaskRun): number =>
      overTargetSinceMs === undefined ? 0 : nowMs - overTargetSinceMs;
    const victims = serving.filter((run) => overMs(run) >= SUSPEND_SUSPECTS_AFTER_MS);
    const working = fillers.filter(({ pacePercent }) => pacePercent > 0);
    if (victims.some((run) => overMs(run) >= SUSPEND_ALL_AFTER_MS)) return working;
    return working.filter(({ task }) =>
      victims.some(
        (victim) =>
          this.#model.fillerLoss(victim.task.step.image, task, view).worstLoss >= SUSPECT_LOSS,
      ),
    );
  }

  #lowestHeadroom(view: FleetWorkerView, nowMs: number): LowestHeadroom | undefined {
    let lowest: LowestHeadroom | undefined;
    view.loads.forEach((load) => {
      const headroom = this.#model.lowestHeadroom(view, load, FORECAST_MS, nowMs);
      if (lowest === undefined || headroom < lowest.headroom) {
        lowest = { image: load.image, headroom };
      }
    });
    return lowest;
  }

  /** Moves or slows the worst antagonists until the wanted headroom is expected. */
  #slowDown(
    view: FleetWorkerView,
    lowest: LowestHeadroom,
    fillers: readonly TaskRun[],
  ): InterferenceChanges {
    const { image } = lowest;
    const antagonists = fillers
      .map((run) => ({ run, loss: this.#model.lossAtCurrentPace(image, run, view) }))
      .filter(({ loss }) => loss >= ANTAGONIST_LOSS)
      .sort((left, right) => right.loss - left.loss);
    let missing = WANTED_HEADROOM - lowest.headroom;
    const paces: PaceChange[] = [];
    const moves: TaskRun[] = [];
    antagonists.forEach(({ run, loss }) => {
      if (missing <= 0) return;
      const keptShare = Math.max(0, 1 - missing / loss);
      const percent = Math.floor(run.pacePercent * keptShare);
      missing -= loss;
      if (run.task.step.savesProgress && loss >= MOVED_LOSS) moves.push(run);
      else paces.push({ run, percent: percent < MINIMUM_PERCENT ? 0 : percent });
    });
    return { paces, moves };
  }

  /** Restores full pace, least loss first, as far as the expected headroom allows. */
  #speedUp(
    view: FleetWorkerView,
    fillers: readonly TaskRun[],
    nowMs: number,
  ): readonly PaceChange[] {
    const slowed = fillers.filter(({ pacePercent }) => pacePercent < FULL_PERCENT);
    if (slowed.length === 0) return [];
    const spares = [...view.loads.values()].map((load) => ({
      image: load.image,
      headroom: this.#model.lowestHeadroom(view, load, FORECAST_MS, nowMs) - SPARE_HEADROOM,
    }));
    const additionalLoss = (run: TaskRun, image: string): number =>
      this.#model.lossAtFullPace(image, run.task, view) -
      this.#model.lossAtCurrentPace(image, run, view);
    const maximumLoss = (run: TaskRun): number =>
      Math.max(0, ...spares.map(({ image }) => additionalLoss(run, image)));
    return slowed
      .map((run) => ({ run, loss: maximumLoss(run) }))
      .sort((left, right) => left.loss - right.loss)
      .filter(({ run }) => {
        const isTolerated = spares.every(
          ({ image, headroom }) => additionalLoss(run, image) <= Math.max(0, headroom),
        );
        if (!isTolerated) return false;
        spares.forEach((spare) => {
          spare.headroom -= additionalLoss(run, spare.image);
        });
        return true;
      })
      .map(({ run }) => ({ run, percent: FULL_PERCENT }));
  }
}
