/** Throttles or moves fillers that slow serving tasks, by learnt interference. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import {
  type Admission,
  type InterferenceAnswer,
  type InterferenceControl,
  NO_ANSWER,
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
const LEAD_MS = 1_200;
/** Below the first expected headroom, fillers are slowed until it reaches the second. */
const TIGHT_HEADROOM = 1.05;
const WANTED_HEADROOM = 1.1;
/** Expected headroom that must remain when fillers are sped up again. */
const SPARE_HEADROOM = 1.18;
/** Headroom that a service must keep in the next seconds beside a newly started filler. */
const PLACED_HEADROOM = 1.02;
/** The lowest pace at which a filler is started. */
const LEAST_START_PERCENT = 10;
/** A filler that takes less headroom than this does not count as an antagonist. */
const ANTAGONIST_LOSS = 0.05;
/**
 * If a tail latency is over its target for the first duration, every filler that may be the cause
 * is suspended. After the second, all fillers are, because a task may be slowed more than other
 * tasks of its image. Users notice after about four seconds, and two polls and a change of pace
 * take 1.5 s.
 */
const OVER_PATIENCE_MS = 1_200;
const OVER_LIMIT_MS = 1_800;
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
const HELD_PERCENT = 50;
const HELD_LIMIT_MS = 2_500;
/** Below this pace a filler is suspended: it would do little work for the memory it holds. */
const LEAST_PERCENT = 10;
const FULL_PERCENT = 100;

/** The image with the lowest expected headroom. */
interface Tightness {
  readonly image: string;
  readonly headroom: number;
}

const isHeld = ({ pacePercent, pacedSinceMs, plannedPercent }: TaskRun, nowMs: number): boolean =>
  pacePercent < HELD_PERCENT &&
  plannedPercent >= HELD_PERCENT &&
  nowMs - pacedSinceMs >= HELD_LIMIT_MS;

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
    const bearings = this.#model.bearings(view, nowMs);
    // Checked per task: the median of a group hides a task that is slowed more than the others.
    if (bearings.isAnyOverTarget) return undefined;
    let percent = FULL_PERCENT;
    let headroom = Number.POSITIVE_INFINITY;
    bearings.groups.forEach(({ image, atWorst, soon, soonAtWorst, isOnTrial }) => {
      const { isKnown, loss, worstLoss } = this.#model.exposure(image, filler, view);
      headroom = Math.min(headroom, atWorst - loss);
      const available = (isKnown ? soon : soonAtWorst) - PLACED_HEADROOM;
      const expectedLoss = isKnown ? loss : worstLoss;
      if (expectedLoss > available)
        percent = Math.min(percent, Math.floor((FULL_PERCENT * available) / expectedLoss));
      if (!isKnown && isOnTrial) percent = 0;
    });
    return percent < LEAST_START_PERCENT ? undefined : { percent, headroom };
  }

  answer(view: FleetWorkerView, nowMs: number): InterferenceAnswer {
    if (nowMs - view.pacedAtMs < SETTLING_MS) return NO_ANSWER;
    if (view.pacingSampledAtMs === view.sampledAtMs) return NO_ANSWER;
    view.pacingSampledAtMs = view.sampledAtMs;
    const fillers = fillerRuns(view);
    if (fillers.length === 0) return NO_ANSWER;
    const { paces, moves } = this.#change(view, fillers, nowMs);
    const changed = new Set([...paces.map(({ run }) => run), ...moves]);
    const held = fillers.filter((run) => !changed.has(run) && isHeld(run, nowMs));
    return { paces, moves: [...moves, ...held] };
  }

  #change(view: FleetWorkerView, fillers: readonly TaskRun[], nowMs: number): InterferenceAnswer {
    const serving = servingRuns(view);
    const relieved = this.#relieved(view, serving, fillers, nowMs);
    if (relieved.length > 0) {
      return { paces: relieved.map((run) => ({ run, percent: 0 })), moves: [] };
    }
    const tight = this.#tightest(view, nowMs);
    if (tight !== undefined && tight.headroom < TIGHT_HEADROOM) {
      return this.#slower(view, tight, fillers);
    }
    // A task over its target may be slowed more than its image's estimate, so nothing speeds up.
    if (isAnyOverTarget(view)) return NO_ANSWER;
    return { paces: this.#faster(view, fillers, nowMs), moves: [] };
  }

  /** The fillers to suspend because tasks have been over their targets for too long. */
  #relieved(
    view: FleetWorkerView,
    serving: readonly TaskRun[],
    fillers: readonly TaskRun[],
    nowMs: number,
  ): readonly TaskRun[] {
    const overMs = ({ overSinceMs }: TaskRun): number =>
      overSinceMs === undefined ? 0 : nowMs - overSinceMs;
    const victims = serving.filter((run) => overMs(run) >= OVER_PATIENCE_MS);
    const working = fillers.filter(({ pacePercent }) => pacePercent > 0);
    if (victims.some((run) => overMs(run) >= OVER_LIMIT_MS)) return working;
    return working.filter(({ task }) =>
      victims.some(
        (victim) =>
          this.#model.exposure(victim.task.step.image, task, view).worstLoss >= SUSPECT_LOSS,
      ),
    );
  }

  #tightest(view: FleetWorkerView, nowMs: number): Tightness | undefined {
    let tightest: Tightness | undefined;
    view.loads.forEach((load) => {
      const headroom = this.#model.expected(view, load, LEAD_MS, nowMs);
      if (tightest === undefined || headroom < tightest.headroom) {
        tightest = { image: load.image, headroom };
      }
    });
    return tightest;
  }

  /** Moves or slows the worst antagonists until the wanted headroom is expected. */
  #slower(
    view: FleetWorkerView,
    tight: Tightness,
    fillers: readonly TaskRun[],
  ): InterferenceAnswer {
    const { image } = tight;
    const antagonists = fillers
      .map((run) => ({ run, loss: this.#model.lossOf(image, run, view) }))
      .filter(({ loss }) => loss >= ANTAGONIST_LOSS)
      .sort((left, right) => right.loss - left.loss);
    let missing = WANTED_HEADROOM - tight.headroom;
    const paces: PaceChange[] = [];
    const moves: TaskRun[] = [];
    antagonists.forEach(({ run, loss }) => {
      if (missing <= 0) return;
      const kept = Math.max(0, 1 - missing / loss);
      const percent = Math.floor(run.pacePercent * kept);
      missing -= loss;
      if (run.task.step.savesProgress && loss >= MOVED_LOSS) moves.push(run);
      else paces.push({ run, percent: percent < LEAST_PERCENT ? 0 : percent });
    });
    return { paces, moves };
  }

  /** Restores full pace, least loss first, as far as the expected headroom allows. */
  #faster(
    view: FleetWorkerView,
    fillers: readonly TaskRun[],
    nowMs: number,
  ): readonly PaceChange[] {
    const paced = fillers.filter(({ pacePercent }) => pacePercent < FULL_PERCENT);
    if (paced.length === 0) return [];
    const rooms = [...view.loads.values()].map((load) => ({
      image: load.image,
      left: this.#model.expected(view, load, LEAD_MS, nowMs) - SPARE_HEADROOM,
    }));
    const lossAt = (run: TaskRun, image: string): number =>
      this.#model.loss(image, run.task, view) - this.#model.lossOf(image, run, view);
    const worstLoss = (run: TaskRun): number =>
      Math.max(0, ...rooms.map(({ image }) => lossAt(run, image)));
    return paced
      .map((run) => ({ run, loss: worstLoss(run) }))
      .sort((left, right) => left.loss - right.loss)
      .filter(({ run }) => {
        const isBorne = rooms.every(({ image, left }) => lossAt(run, image) <= Math.max(0, left));
        if (!isBorne) return false;
        rooms.forEach((room) => {
          room.left -= lossAt(run, room.image);
        });
        return true;
      })
      .map(({ run }) => ({ run, percent: FULL_PERCENT }));
  }
}
