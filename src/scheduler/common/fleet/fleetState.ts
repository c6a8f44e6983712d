/**
 * The state of the fleet that a daemon keeps while it is the owner and has loaded the stored state.
 */
import type {
  FleetConfiguration,
  OperatorState,
} from '../../../services/fleet/common/fleetConfiguration.js';
import type { FleetWorkerEntry, RunReference } from '../../../services/fleet/common/fleetWorker.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import {
  type Assignments,
  type LearntInterference,
  type Progress,
  type RosterEntry,
  type RosterRow,
  specKey,
  type StoredCheckpoints,
  toRosterEntries,
} from '../../../services/submissions/common/submissionRows.js';
import { ABSENT_VERSION } from '../../../services/table/common/table.js';
import { NO_RESOURCES } from '../../../services/worker/common/resources.js';
import { WorkerHealth } from '../workerHealth.js';
import type { FleetTiming } from './fleetTiming.js';
import { FleetWorkerView } from './fleetWorkerView.js';
import { DecisionLog, StopReason } from './decisionLog.js';
import { DelayReport } from './delayReport.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { InterferenceControl } from './interferenceControl.js';
import { ProgressCommits } from './progressCommits.js';
import { RoomMisses } from './roomMisses.js';
import { Roster } from './roster.js';
import type { StoreLimits } from './storeLimits.js';
import { EvidenceKind } from './runEvidence.js';
import { RunTracker } from './runTracker.js';
import { SubmissionRegistry } from './submissionRegistry.js';
import { NO_ASSIGNMENTS } from './taskRecords.js';
import type { RoundInput } from './usableWorkers.js';

/** A submission or a cancellation that was read from the table. */
export type SubmissionChange =
  | {
      readonly kind: 'submission';
      readonly submission: Submission;
      /** The version of its row, if known. */
      readonly version?: number;
    }
  | { readonly kind: 'cancellation'; readonly id: string };

/** The state that a new owner reads from the table before it schedules. */
export interface StoredState {
  readonly changes: readonly SubmissionChange[];
  readonly progress: ReadonlyMap<string, Progress>;
  readonly assignments: ReadonlyMap<string, Assignments>;
  /** Indexes of the stored pages of tasks, by submission. */
  readonly taskPages?: ReadonlyMap<string, readonly number[]>;
  /** Pages of checkpoints, in the order in which they were written. */
  readonly checkpoints: readonly StoredCheckpoints[];
  /** Versions of the rows that only the owner writes, by key. */
  readonly versions: ReadonlyMap<string, number>;
  /** Workers to which former owners have granted leases. */
  readonly roster: RosterRow;
  readonly workers: readonly FleetWorkerEntry[];
  /** Interference between images that former owners have learnt. */
  readonly interference: LearntInterference;
}

export interface FleetState {
  readonly epoch: number;
  readonly registry: SubmissionRegistry;
  readonly views: Map<string, FleetWorkerView>;
  readonly runTracker: RunTracker;
  readonly commits: ProgressCommits;
  readonly limits: StoreLimits;
  readonly roster: Roster;
  readonly interference: InterferenceControl;
  readonly decisionLog: DecisionLog;
  readonly delayReport: DelayReport;
  readonly misses: RoomMisses;
  /** When the latest answered call for the changes of callers was sent. */
  caughtUpAtMs: number;
  /** When the latest list of workers was requested. */
  workersReadAtMs: number;
  /** The latest list of workers, and the configuration with which it was last applied. */
  workerEntries: readonly FleetWorkerEntry[];
  appliedConfiguration: FleetConfiguration | undefined;
  /**
   * How often the fence has to be raised for a worker that was forgotten and comes back. Its
   * process may have seen the previous fence, or may be a different process.
   */
  readonly fenceRaises: Map<string, number>;
  /** Listed runs that the owner does not know and stops, by worker, task and run number. */
  readonly unknownRuns: Map<string, RunReference>;
}

/** The entry of an unlisted worker. Only id and address are known, and no task is started on it. */
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

/** Whether the worker has runs, or ends that it may forget only after the next hold. */
const hasOpenRuns = (view: FleetWorkerView | undefined): boolean =>
  view !== undefined && (view.runs.size > 0 || view.acknowledgedSequence < view.handledSequence);

/**
 * The listed workers on which tasks run or may be started: those of services that the configuration
 * names or that open submissions were accepted for. Any other entry may come from another writer.
 * The owner treats it as unlisted: it calls such a worker only if a former owner may have granted it
 * leases, and only until it has answered.
 */
const entriesInUse = (state: FleetState): readonly FleetWorkerEntry[] => {
  const { appliedConfiguration, registry, views, workerEntries } = state;
  const names = registry.openServiceNames();
  appliedConfiguration?.services.forEach(({ name }) => names.add(name));
  appliedConfiguration?.queues.forEach(({ serviceName }) => names.add(serviceName));
  return workerEntries.filter(
    ({ id, serviceName }) => names.has(serviceName) || hasOpenRuns(views.get(id)),
  );
};

const updateListedWorker = (
  { views, fenceRaises }: Pick<FleetState, 'views' | 'fenceRaises'>,
  entry: FleetWorkerEntry,
  nowMs: number,
): FleetWorkerView => {
  const known = views.get(entry.id);
  const view = known ?? new FleetWorkerView(entry, nowMs, nowMs, fenceRaises.get(entry.id));
  view.entry = entry;
  // An unlisted worker without runs is not called, so it may be a different process by now.
  if (view.hasAnswered && !view.isListed && !view.isHoldInFlight) view.isSilent = true;
  view.isListed = true;
  views.set(entry.id, view);
  return view;
};

/** Nothing is stored yet for submissions that have just come in. */
type StoredTasks = Pick<StoredState, 'progress' | 'assignments' | 'taskPages'>;

export const NOTHING_STORED: StoredTasks = {
  progress: new Map(),
  assignments: new Map(),
};

export const applyChanges = (
  state: FleetState,
  changes: readonly SubmissionChange[],
  stored: StoredTasks,
  nowMs: number,
): void => {
  changes.forEach((change) => {
    if (change.kind === 'cancellation') {
      state.runTracker.requestStops(state.registry.cancel(change.id), StopReason.Cancelled, nowMs);
      return;
    }
    const { submission } = change;
    const { id } = submission;
    const assignments = stored.assignments.get(id) ?? NO_ASSIGNMENTS;
    const pages = stored.taskPages?.get(id);
    const { registry, commits, limits } = state;
    const isPaged = registry.add(submission, stored.progress.get(id), assignments, nowMs, {
      storedPages: pages ?? [],
      limits,
    });
    if (isPaged) commits.noteVersion(specKey(id), change.version ?? ABSENT_VERSION);
  });
};

/**
 * The state of a new owner. `leasesOverAtMs` returns when all leases that former owners may have
 * granted to a worker have ended.
 */
export const newFleetState = (
  epoch: number,
  stored: StoredState,
  leasesOverAtMs: (entry: RosterEntry) => number,
  operator: () => OperatorState,
  policy: FleetPolicy,
  nowMs: number,
): FleetState => {
  const registry = new SubmissionRegistry();
  const views = new Map<string, FleetWorkerView>();
  const decisionLog = new DecisionLog();
  const runTracker = new RunTracker(registry, views, operator, new WorkerHealth(), decisionLog);
  const commits = new ProgressCommits();
  stored.versions.forEach((version, key) => commits.noteVersion(key, version));
  toRosterEntries(stored.roster).forEach((known) => {
    const view = new FleetWorkerView(unlistedEntry(known), leasesOverAtMs(known), nowMs);
    view.isListed = false;
    views.set(known.id, view);
  });
  const interference = policy.newInterferenceControl();
  interference.inherit(stored.interference, nowMs);
  const roster = new Roster(epoch);
  const state: FleetState = {
    ...{
      epoch,
      registry,
      views,
      runTracker,
      commits,
      roster,
      interference,
      decisionLog,
    },
    limits: policy.storeLimits,
    fenceRaises: new Map(),
    delayReport: new DelayReport(),
    misses: new RoomMisses(),
    unknownRuns: new Map(),
    caughtUpAtMs: Number.NEGATIVE_INFINITY,
    workersReadAtMs: Number.NEGATIVE_INFINITY,
    workerEntries: stored.workers,
    appliedConfiguration: operator().configuration,
  };
  registry.checkpoints.inherit(stored.checkpoints);
  applyChanges(state, stored.changes, stored, nowMs);
  entriesInUse(state).forEach((entry) => updateListedWorker(state, entry, nowMs));
  runTracker.failOutOfAttempts(nowMs);
  return state;
};

/** Applies the list of workers to the views. */
const applyWorkers = (state: FleetState, timing: FleetTiming, nowMs: number): void => {
  const entries = entriesInUse(state);
  const listed = new Set(entries.map(({ id }) => id));
  entries.forEach((entry) =>
    updateListedWorker(state, entry, nowMs).noteEntry(entry, timing, state.workersReadAtMs),
  );
  state.views.forEach((view, id) => {
    if (listed.has(id)) return;
    if (view.isListed) state.decisionLog.addUnlisted(view, nowMs);
    view.isListed = false;
  });
};

/**
 * Updates the views with the table's list of workers, which was read no earlier than `readAtMs`.
 */
export const updateWorkers = (
  state: FleetState,
  entries: readonly FleetWorkerEntry[],
  timing: FleetTiming,
  readAtMs: number,
  nowMs: number,
): void => {
  state.workersReadAtMs = readAtMs;
  state.workerEntries = entries;
  applyWorkers(state, timing, nowMs);
};

/**
 * Applies a new configuration to the list of workers, which may have workers of its services, and to
 * the tasks that wait for another attempt.
 */
export const followConfiguration = (
  state: FleetState,
  configuration: FleetConfiguration | undefined,
  timing: FleetTiming,
  nowMs: number,
): void => {
  if (state.appliedConfiguration === configuration) return;
  state.appliedConfiguration = configuration;
  applyWorkers(state, timing, nowMs);
  state.runTracker.failOutOfAttempts(nowMs);
};

/** The input of a placement round. */
export const roundInput = (
  state: FleetState,
  operator: OperatorState,
  policy: FleetPolicy,
  timing: FleetTiming,
  congestedWorkers: ReadonlySet<string>,
): RoundInput => {
  const { registry, views, epoch, interference, runTracker, roster, misses } = state;
  const { health } = runTracker;
  return {
    ...{ registry, views, epoch, interference, operator, policy, timing, health, roster, misses },
    congestedWorkers,
  };
};

/**
 * Drops the runs of workers that have not answered recently and whose leases have ended. Forgets
 * such a worker if the table does not list it.
 */
export const dropExpiredRuns = (state: FleetState, timing: FleetTiming, nowMs: number): void => {
  state.views.forEach((view, id) => {
    if (view.isFresh(timing, nowMs) || nowMs < view.leasesOverAtMs) return;
    state.runTracker.dropAll(view, { kind: EvidenceKind.LeasesOver }, nowMs);
    // The answer to a call in flight would be taken for an answer to the worker's next view.
    if (view.isListed || view.isHoldInFlight) return;
    state.views.delete(id);
    state.fenceRaises.set(id, view.fenceRaises + 1);
  });
};
