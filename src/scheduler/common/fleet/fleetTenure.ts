/** What exists only while a daemon owns the fleet and has read what is stored. */
import type { OperatorState } from '../../../services/fleet/common/fleetConfiguration.js';
import type { FleetWorkerEntry, RunReference } from '../../../services/fleet/common/fleetWorker.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import type { LearntHarm, Progress } from '../../../services/submissions/common/submissionRows.js';
import { NO_RESOURCES } from '../../../services/worker/common/resources.js';
import type { PlacementPolicy } from '../placement.js';
import { WorkerHealth } from '../workerHealth.js';
import type { FleetTiming } from './fleetTiming.js';
import { FleetWorkerView } from './fleetWorkerView.js';
import type { RoundInput } from './fleetRound.js';
import { FleetNotes, LossReason, StopReason } from './fleetNotes.js';
import { HarmControl } from './harmControl.js';
import { ProgressCommits, type RosterEntry } from './progressCommits.js';
import { RunKeeper } from './runKeeper.js';
import { SubmissionBook } from './submissionBook.js';

/** A submission or a cancellation as read from the table. */
export type SubmissionChange =
  | { readonly kind: 'submission'; readonly submission: Submission }
  | { readonly kind: 'cancellation'; readonly id: string };

/** What a new owner reads before it does anything. */
export interface StoredState {
  readonly changes: readonly SubmissionChange[];
  readonly progress: ReadonlyMap<string, Progress>;
  /** Versions of the rows that only the owner writes, by key. */
  readonly versions: ReadonlyMap<string, number>;
  /** Workers to which the former owners have granted leases. */
  readonly roster: readonly RosterEntry[];
  readonly workers: readonly FleetWorkerEntry[];
  /** What the former owners have learnt of harm between images. */
  readonly harm: LearntHarm;
}

export interface Tenure {
  readonly epoch: number;
  readonly book: SubmissionBook;
  readonly views: Map<string, FleetWorkerView>;
  readonly keeper: RunKeeper;
  readonly commits: ProgressCommits;
  readonly harm: HarmControl;
  readonly notes: FleetNotes;
  /** Runs that workers list and nobody asked for, to be stopped. */
  readonly strays: Map<string, RunReference>;
}

/** A worker of which only the name and the address are known; nothing is started on it. */
const unlistedEntry = ({ id, address }: RosterEntry): FleetWorkerEntry => ({
  id,
  address,
  serviceName: '',
  availabilityZone: '',
  isDraining: true,
  capacity: NO_RESOURCES,
  labels: [],
  rack: '',
  incarnation: 0,
});

const noteListed = (
  views: Map<string, FleetWorkerView>,
  entry: FleetWorkerEntry,
  nowMs: number,
): void => {
  const known = views.get(entry.id);
  const view = known ?? new FleetWorkerView(entry, nowMs, nowMs);
  view.entry = entry;
  view.isListed = true;
  views.set(entry.id, view);
};

/** No progress is known of submissions that have just come. */
export const NO_PROGRESS_STORED: ReadonlyMap<string, Progress> = new Map();

export const takeChanges = (
  tenure: Tenure,
  changes: readonly SubmissionChange[],
  progress: ReadonlyMap<string, Progress>,
  isInherited: boolean,
  nowMs: number,
): void => {
  changes.forEach((change) => {
    if (change.kind === 'cancellation') {
      tenure.keeper.requestStops(tenure.book.cancel(change.id), StopReason.Cancelled, nowMs);
      return;
    }
    const { submission } = change;
    tenure.book.add(submission, progress.get(submission.id), isInherited, nowMs);
  });
};

/** `leasesOverAtMs` is when all that the former owners may have granted is over. */
export const newTenure = (
  epoch: number,
  stored: StoredState,
  leasesOverAtMs: number,
  operator: () => OperatorState,
  nowMs: number,
): Tenure => {
  const book = new SubmissionBook();
  const views = new Map<string, FleetWorkerView>();
  const notes = new FleetNotes();
  const keeper = new RunKeeper(book, views, operator, new WorkerHealth(), notes);
  const commits = new ProgressCommits();
  stored.versions.forEach((version, key) => commits.noteVersion(key, version));
  stored.roster.forEach((known) => {
    const view = new FleetWorkerView(unlistedEntry(known), leasesOverAtMs, nowMs);
    view.isListed = false;
    views.set(known.id, view);
  });
  stored.workers.forEach((entry) => noteListed(views, entry, nowMs));
  const harm = new HarmControl();
  harm.inherit(stored.harm, nowMs);
  const tenure = { epoch, book, views, keeper, commits, harm, notes, strays: new Map() };
  takeChanges(tenure, stored.changes, stored.progress, true, nowMs);
  return tenure;
};

/** Takes in the workers that the table lists now. */
export const noteWorkers = (
  tenure: Tenure,
  entries: readonly FleetWorkerEntry[],
  nowMs: number,
): void => {
  const listed = new Set(entries.map(({ id }) => id));
  entries.forEach((entry) => noteListed(tenure.views, entry, nowMs));
  tenure.views.forEach((view, id) => {
    if (listed.has(id)) return;
    if (view.isListed) tenure.notes.add('worker-unlisted', { workerId: id, runs: view.runs.size });
    view.isListed = false;
  });
};

/** Whether everything that former owners may have started is known or over. */
const isSettled = (tenure: Tenure, nowMs: number): boolean =>
  [...tenure.views.values()].every((view) => view.isHeard || nowMs >= view.leasesOverAtMs);

/** What a round of placing goes by. */
export const roundInput = (
  tenure: Tenure,
  operator: OperatorState,
  policy: PlacementPolicy,
  timing: FleetTiming,
  nowMs: number,
): RoundInput => {
  const { book, views, epoch, harm, keeper, commits } = tenure;
  return {
    ...{ book, views, epoch, harm, operator, policy, timing },
    health: keeper.health,
    isSettled: isSettled(tenure, nowMs),
    isOnRoster: (id) => commits.isOnRoster(id),
  };
};

/** Whatever a worker held is over once its leases are, if nobody has heard of it since. */
export const loseLapsed = (tenure: Tenure, timing: FleetTiming, nowMs: number): void => {
  tenure.views.forEach((view, id) => {
    const mayRun = view.isFresh(timing, nowMs) || nowMs < view.leasesOverAtMs;
    if (mayRun && !view.isGone) return;
    const reason = view.isGone ? LossReason.Gone : LossReason.LeasesOver;
    if (view.runs.size > 0) tenure.keeper.loseAll(view, reason, nowMs);
    if (!view.isListed) tenure.views.delete(id);
  });
};
