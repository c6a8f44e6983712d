/** Holds fillers back where they slow tasks that serve. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { InterferenceModel } from './interferenceModel.js';
import { fillerRuns, servingRuns } from './headroom.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';

/** Until a change of pace has taken effect and a whole figure has been made after it. */
const SETTLING_MS = 550;
/** How far ahead tails are looked at: until a change of pace shows in what users see. */
const LEAD_MS = 1_200;
/** Expected headroom below which fillers are slowed, and up to which. */
const TIGHT_HEADROOM = 1.15;
const WANTED_HEADROOM = 1.3;
/** Expected headroom that is left when fillers are sped up again. */
const SPARE_HEADROOM = 1.4;
/** Headroom that a service keeps in the next seconds beside a filler that is started. */
const PLACED_HEADROOM = 1.1;
/** A filler that takes less headroom than this is not treated as an antagonist. */
const ANTAGONIST_LOSS = 0.05;
/**
 * A tail that stays over its target for so long is relieved of every filler that may cause it,
 * and after the limit of all: a single task may suffer more than its like, and users notice after
 * some four seconds, of which two looks and a change of pace take one and a half.
 */
const OVER_PATIENCE_MS = 1_200;
const OVER_LIMIT_MS = 1_800;
/** What a filler may take at full pace to be under suspicion. */
const SUSPECT_LOSS = 0.15;
/**
 * A filler that takes this much at full pace is moved, if it saves its progress: a move costs it a
 * second or two, and standing still beside a service costs it all its time.
 */
const MOVED_LOSS = 0.4;
/**
 * A filler held below this pace for so long cannot go on where it is: sped up again it would slow
 * the same tasks again. It goes back into the queue, also if that loses what it has not saved.
 */
const HELD_PERCENT = 50;
const HELD_LIMIT_MS = 2_500;
/** A pace below this does little work and takes its memory all the same; it stands still. */
const LEAST_PERCENT = 10;
const FULL_PERCENT = 100;

export interface PaceChange {
  readonly run: TaskRun;
  readonly percent: number;
}

/** What is to be done about the fillers of one worker. */
export interface InterferenceAnswer {
  readonly paces: readonly PaceChange[];
  /** Runs to stop, so that their tasks can run where they slow no service. */
  readonly moves: readonly TaskRun[];
}

/** The image that is expected to be nearest to its target. */
interface Tightness {
  readonly image: string;
  readonly headroom: number;
}

const NO_ANSWER: InterferenceAnswer = { paces: [], moves: [] };

const isHeld = ({ pacePercent, pacedSinceMs }: TaskRun, nowMs: number): boolean =>
  pacePercent < HELD_PERCENT && nowMs - pacedSinceMs >= HELD_LIMIT_MS;

/**
 * Made for services whose tail rises within seconds because batch work beside them got heavier
 * or their own load rose. Few images of batch work interfere, so only these are slowed.
 */
export class InterferenceControl {
  readonly #model = new InterferenceModel();

  inherit(pairs: LearntInterference, nowMs: number): void {
    this.#model.inherit(pairs, nowMs);
  }

  /** What is known of pairs of images, for a successor. */
  learnt(): LearntInterference {
    return this.#model.learnt();
  }

  /** Takes the worker's newest figures in. */
  observe(view: FleetWorkerView, nowMs: number): void {
    this.#model.observe(view, nowMs);
  }

  /**
   * The least headroom that a serving task on the worker has beside one more filler when its load
   * is highest, or undefined where the filler is not to be started now. A filler of a known kind
   * goes where it is borne in the next seconds; it is slowed or moved when the load rises. What an
   * unknown kind does shows within a second: it is tried where the load leaves room for the worst,
   * one at a time.
   */
  headroomWith(view: FleetWorkerView, filler: TaskRecord, nowMs: number): number | undefined {
    let least = Number.POSITIVE_INFINITY;
    const isBorne = this.#model.bearings(view, nowMs).every((bearing) => {
      const { image, atWorst, soon, soonAtWorst, isOnTrial } = bearing;
      const loss = this.#model.loss(image, filler, view);
      least = Math.min(least, atWorst - loss);
      if (this.#model.isKnown(image, filler)) return soon - loss >= PLACED_HEADROOM;
      const worstCaseLoss = this.#model.worstCaseLoss(image, filler, view);
      return soonAtWorst - worstCaseLoss >= PLACED_HEADROOM && !isOnTrial;
    });
    return isBorne ? least : undefined;
  }

  /** What is to work faster or slower on the worker from now on. */
  answer(view: FleetWorkerView, nowMs: number): InterferenceAnswer {
    if (nowMs - view.pacedAtMs < SETTLING_MS) return NO_ANSWER;
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
    const tight = this.#tightest(view);
    if (tight !== undefined && tight.headroom < TIGHT_HEADROOM) {
      return this.#slower(view, tight, fillers);
    }
    // Nothing is sped up beside a task that suffers more than its like.
    if (serving.some(({ overSinceMs }) => overSinceMs !== undefined)) return NO_ANSWER;
    return { paces: this.#faster(view, fillers), moves: [] };
  }

  /** Fillers to stand still for tasks that have been over their targets for long. */
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
        (victim) => this.#model.worstCaseLoss(victim.task.step.image, task, view) >= SUSPECT_LOSS,
      ),
    );
  }

  #tightest(view: FleetWorkerView): Tightness | undefined {
    let tightest: Tightness | undefined;
    view.loads.forEach((load) => {
      const headroom = this.#model.expected(view, load, LEAD_MS);
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
  #faster(view: FleetWorkerView, fillers: readonly TaskRun[]): readonly PaceChange[] {
    const paced = fillers.filter(({ pacePercent }) => pacePercent < FULL_PERCENT);
    if (paced.length === 0) return [];
    const rooms = [...view.loads.values()].map((load) => ({
      image: load.image,
      left: this.#model.expected(view, load, LEAD_MS) - SPARE_HEADROOM,
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
