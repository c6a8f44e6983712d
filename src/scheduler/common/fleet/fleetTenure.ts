/** What exists only while a daemon owns the fleet and has read what is stored. */
import type { OperatorState } from '../../../services/fleet/common/fleetConfiguration.js';
import type { FleetWorkerEntry, RunReference } from '../../../services/fleet/common/fleetWorker.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import {
  type Assignments,
  type LearntInterference,
  type Progress,
  type RosterEntry,
  type RosterRow,
  toRosterEntries,
} from '../../../services/submissions/common/submissionRows.js';
import { NO_RESOURCES } from '../../../services/worker/common/resources.js';
import { WorkerHealth } from '../workerHealth.js';
import type { FleetTiming } from './fleetTiming.js';
import { FleetWorkerView } from './fleetWorkerView.js';
import { FleetNotes, StopReason } from './fleetNotes.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { InterferenceControl } from './interferenceControl.js';
import { ProgressCommits } from './progressCommits.js';
import { RoomMisses } from './roomMisses.js';
import { Roster } from './roster.js';
import { EvidenceKind } from './runEvidence.js';
import { RunKeeper } from './runKeeper.js';
import { SubmissionBook } from './submissionBook.js';
import { NO_ASSIGNMENTS } from './taskRecords.js';
import type { RoundInput } from './usableWorkers.js';

/** A submission or a cancellation as read from the table. */
export type SubmissionChange =
  | { readonly kind: 'submission'; readonly submission: Submission }
  | { readonly kind: 'cancellation'; readonly id: string };

/** What a new owner reads before it does anything. */
export interface StoredState {
  readonly changes: readonly SubmissionChange[];
  readonly progress: ReadonlyMap<string, Progress>;
  readonly assignments: ReadonlyMap<string, Assignments>;
  /** Versions of the rows that only the owner writes, by key. */
  readonly versions: ReadonlyMap<string, number>;
  /** Workers to which the former owners have granted leases. */
  readonly roster: RosterRow;
  readonly workers: readonly FleetWorkerEntry[];
  /** Interference between images, as learnt by the former owners. */
  readonly interference: LearntInterference;
}

export interface Tenure {
  readonly epoch: number;
  readonly book: SubmissionBook;
  readonly views: Map<string, FleetWorkerView>;
  readonly keeper: RunKeeper;
  readonly commits: ProgressCommits;
  readonly roster: Roster;
  readonly interference: InterferenceControl;
  readonly notes: FleetNotes;
  readonly misses: RoomMisses;
  /** When everything that callers had done was known last. */
  caughtUpAtMs: number;
  /**
   * Fences for workers that are off the list, should they come back: the process may have seen
   * the former one, or be another.
   */
  readonly fenceRaises: Map<string, number>;
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
  { views, fenceRaises }: Pick<Tenure, 'views' | 'fenceRaises'>,
  entry: FleetWorkerEntry,
  nowMs: number,
): FleetWorkerView => {
  const known = views.get(entry.id);
  const view = known ?? new FleetWorkerView(entry, nowMs, nowMs, fenceRaises.get(entry.id));
  view.entry = entry;
  // Nothing was asked of it while it was off the list and ran nothing: it may be another process.
  if (view.isHeard && !view.isListed && !view.isHoldInFlight) view.isSilent = true;
  view.isListed = true;
  views.set(entry.id, view);
  return view;
};

/** Nothing is stored of submissions that have just come. */
export const NOTHING_STORED: Pick<StoredState, 'progress' | 'assignments'> = {
  progress: new Map(),
  assignments: new Map(),
};

export const takeChanges = (
  tenure: Tenure,
  changes: readonly SubmissionChange[],
  stored: Pick<StoredState, 'progress' | 'assignments'>,
  nowMs: number,
): void => {
  changes.forEach((change) => {
    if (change.kind === 'cancellation') {
      tenure.keeper.requestStops(tenure.book.cancel(change.id), StopReason.Cancelled, nowMs);
      return;
    }
    const { submission } = change;
    const { id } = submission;
    const assignments = stored.assignments.get(id) ?? NO_ASSIGNMENTS;
    tenure.book.add(submission, stored.progress.get(id), assignments, nowMs);
  });
};

/** `leasesOverAtMs` tells when all that former owners may have granted to a worker is over. */
export const newTenure = (
  epoch: number,
  stored: StoredState,
  leasesOverAtMs: (entry: RosterEntry) => number,
  operator: () => OperatorState,
  policy: FleetPolicy,
  nowMs: number,
): Tenure => {
  const book = new SubmissionBook();
  const views = new Map<string, FleetWorkerView>();
  const notes = new FleetNotes();
  const keeper = new RunKeeper(book, views, operator, new WorkerHealth(), notes);
  const commits = new ProgressCommits();
  stored.versions.forEach((version, key) => commits.noteVersion(key, version));
  toRosterEntries(stored.roster).forEach((known) => {
    const view = new FleetWorkerView(unlistedEntry(known), leasesOverAtMs(known), nowMs);
    view.isListed = false;
    views.set(known.id, view);
  });
  const fenceRaises = new Map<string, number>();
  stored.workers.forEach((entry) => noteListed({ views, fenceRaises }, entry, nowMs));
  const interference = policy.newInterferenceControl();
  interference.inherit(stored.interference, nowMs);
  const roster = new Roster(epoch);
  const tenure: Tenure = {
    ...{ epoch, book, views, keeper, commits, roster, interference, notes, fenceRaises },
    misses: new RoomMisses(),
    strays: new Map(),
    caughtUpAtMs: Number.NEGATIVE_INFINITY,
  };
  takeChanges(tenure, stored.changes, stored, nowMs);
  return tenure;
};

/** Takes in the workers that the table lists, read no earlier than `readAtMs`. */
export const noteWorkers = (
  tenure: Tenure,
  entries: readonly FleetWorkerEntry[],
  timing: FleetTiming,
  readAtMs: number,
  nowMs: number,
): void => {
  const listed = new Set(entries.map(({ id }) => id));
  entries.forEach((entry) => noteListed(tenure, entry, nowMs).noteEntry(entry, timing, readAtMs));
  tenure.views.forEach((view, id) => {
    if (listed.has(id)) return;
    if (view.isListed) tenure.notes.addUnlisted(view, nowMs);
    view.isListed = false;
  });
};

/** What a round of placing goes by. */
export const roundInput = (
  tenure: Tenure,
  operator: OperatorState,
  policy: FleetPolicy,
  timing: FleetTiming,
): RoundInput => {
  const { book, views, epoch, interference, keeper, roster, misses } = tenure;
  const { health } = keeper;
  return {
    ...{ book, views, epoch, interference, operator, policy, timing, health, roster, misses },
  };
};

/** Whatever a worker held is over once its leases are, if nobody has heard of it since. */
export const loseLapsed = (tenure: Tenure, timing: FleetTiming, nowMs: number): void => {
  tenure.views.forEach((view, id) => {
    if (view.isFresh(timing, nowMs) || nowMs < view.leasesOverAtMs) return;
    tenure.keeper.loseAll(view, { kind: EvidenceKind.LeasesOver }, nowMs);
    // The answer to a call under way would count as that of a view made anew.
    if (view.isListed || view.isHoldInFlight) return;
    tenure.views.delete(id);
    tenure.fenceRaises.set(id, view.fenceRaises + 1);
  });
};
