/** Reads and decodes the stored state that a new owner of the fleet needs. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { FleetDirectory } from '../../services/fleet/common/fleetDirectory.js';
import type { Log } from '../../services/log/common/log.js';
import {
  ASSIGNMENT_PREFIX,
  type Assignments,
  assignmentsSchema,
  CHECKPOINT_PREFIX,
  checkpointPageSchema,
  INTERFERENCE_KEY,
  type LearntInterference,
  learntInterferenceSchema,
  parseSubmissionKey,
  parseTaskPageKey,
  type Progress,
  PROGRESS_PREFIX,
  progressSchema,
  ROSTER_KEY,
  type RosterRow,
  rosterSchema,
  type StoredCheckpoints,
  submissionSchema,
  SUBMISSIONS_PREFIX,
  TASK_PAGE_PREFIX,
  type TaskPage,
  taskPageSchema,
  WAITING_COUNTS_KEY,
} from '../../services/submissions/common/submissionRows.js';
import type { TableRow, TableService } from '../../services/table/common/table.js';
import type { StoredState, SubmissionChange } from '../common/fleet/fleetState.js';
import { joinPages } from '../common/fleet/submissionParts.js';

const NO_ROSTER: RosterRow = { epoch: 0, workers: [] };

export interface ReadSubmissions {
  readonly changes: readonly SubmissionChange[];
  /** The position from which a feed of the submissions continues. */
  readonly position: number;
}

export interface LoadedState {
  readonly stored: StoredState;
  readonly position: number;
}

export class StoredStateReader {
  readonly #table: TableService;

  readonly #directory: FleetDirectory;

  readonly #log: Log;

  constructor(table: TableService, directory: FleetDirectory, log: Log) {
    this.#table = table;
    this.#directory = directory;
    this.#log = log;
  }

  /** Reads the stored state. Returns undefined if any part of it could not be read. */
  async readAll(): Promise<LoadedState | undefined> {
    const [submissions, progressRows, taskRows, ownerRows, workers] = await Promise.all([
      this.readSubmissions(),
      this.#table.read({ keys: [], prefixes: [PROGRESS_PREFIX] })(),
      this.#table.read({ keys: [], prefixes: [ASSIGNMENT_PREFIX, TASK_PAGE_PREFIX] })(),
      this.#table.read({
        keys: [ROSTER_KEY, WAITING_COUNTS_KEY, INTERFERENCE_KEY],
        prefixes: [CHECKPOINT_PREFIX],
      })(),
      this.#directory.workers()(),
    ]);
    if (submissions === undefined || isLeft(progressRows) || isLeft(taskRows)) {
      return undefined;
    }
    if (isLeft(ownerRows) || isLeft(workers)) return undefined;
    const rows = [...progressRows.right.rows, ...taskRows.right.rows, ...ownerRows.right.rows];
    const pages = this.#toTaskPages(taskRows.right.rows);
    const progress = this.#toProgress(progressRows.right.rows);
    const assignments = this.#toAssignments(taskRows.right.rows);
    submissions.changes.forEach((change) => {
      // Pages of a submission that doesn't name them are not complete yet.
      if (change.kind !== 'submission' || change.submission.tasksPerPage === undefined) return;
      const { id } = change.submission;
      const joined = joinPages(progress.get(id), [...(pages.get(id)?.values() ?? [])]);
      if (joined.progress !== undefined) progress.set(id, joined.progress);
      assignments.set(id, joined.assignments);
    });
    return {
      position: submissions.position,
      stored: {
        changes: submissions.changes,
        progress,
        assignments,
        taskPages: new Map([...pages].map(([id, byIndex]) => [id, [...byIndex.keys()]])),
        checkpoints: this.#toCheckpoints(ownerRows.right.rows),
        versions: new Map(rows.map(({ key, version }) => [key, version])),
        roster: this.#toRoster(ownerRows.right.rows),
        interference: this.#toInterference(ownerRows.right.rows),
        workers: workers.right,
      },
    };
  }

  async readSubmissions(): Promise<ReadSubmissions | undefined> {
    const result = await this.#table.read({ keys: [], prefixes: [SUBMISSIONS_PREFIX] })();
    if (isLeft(result)) return undefined;
    const { rows, position = 0 } = result.right;
    return { changes: this.toChanges(rows), position };
  }

  /** Puts cancellations first, so that a cancelled submission starts nothing. */
  toChanges(rows: readonly TableRow[]): readonly SubmissionChange[] {
    const changes = rows.flatMap((row) => this.#toChange(row));
    const isCancellation = (change: SubmissionChange): boolean => change.kind === 'cancellation';
    return [
      ...changes.filter(isCancellation),
      ...changes.filter((change) => !isCancellation(change)),
    ];
  }

  #toChange(row: TableRow): SubmissionChange[] {
    const parts = parseSubmissionKey(row.key);
    // Removed rows belong to submissions that ended long ago.
    if (row.value === null) return [];
    if (parts?.isCancellation === true) return [{ kind: 'cancellation', id: parts.id }];
    const parsed = submissionSchema.safeParse(row.value);
    if (parts !== undefined && parsed.success) {
      return [{ kind: 'submission', submission: parsed.data, version: row.version }];
    }
    this.#log.warn('row-unreadable', { key: row.key });
    return [];
  }

  #toProgress(rows: readonly TableRow[]): Map<string, Progress> {
    const progress = new Map<string, Progress>();
    rows.forEach((row) => {
      const parsed = progressSchema.safeParse(row.value);
      if (parsed.success) progress.set(row.key.slice(PROGRESS_PREFIX.length), parsed.data);
      else this.#log.warn('row-unreadable', { key: row.key });
    });
    return progress;
  }

  #toAssignments(rows: readonly TableRow[]): Map<string, Assignments> {
    const assignments = new Map<string, Assignments>();
    const ownRows = rows.filter(({ key }) => key.startsWith(ASSIGNMENT_PREFIX));
    ownRows.forEach((row) => {
      const parsed = assignmentsSchema.safeParse(row.value);
      if (parsed.success) assignments.set(row.key.slice(ASSIGNMENT_PREFIX.length), parsed.data);
      else this.#log.warn('row-unreadable', { key: row.key });
    });
    return assignments;
  }

  /** Returns the pages of tasks by submission and index. */
  #toTaskPages(rows: readonly TableRow[]): ReadonlyMap<string, ReadonlyMap<number, TaskPage>> {
    const pages = new Map<string, Map<number, TaskPage>>();
    const ownRows = rows.filter(({ key }) => key.startsWith(TASK_PAGE_PREFIX));
    ownRows.forEach((row) => {
      const address = parseTaskPageKey(row.key);
      const parsed = taskPageSchema.safeParse(row.value);
      if (address === undefined || !parsed.success) {
        this.#log.warn('row-unreadable', { key: row.key });
        return;
      }
      const known = pages.get(address.id) ?? new Map<number, TaskPage>();
      pages.set(address.id, known.set(address.index, parsed.data));
    });
    return pages;
  }

  /** Returns the pages in the order in which they were written. */
  #toCheckpoints(rows: readonly TableRow[]): readonly StoredCheckpoints[] {
    const pages = rows.filter(({ key }) => key.startsWith(CHECKPOINT_PREFIX));
    const ordered = pages.sort((left, right) => left.version - right.version);
    return ordered.flatMap((row) => {
      const index = Number(row.key.slice(CHECKPOINT_PREFIX.length));
      const parsed = checkpointPageSchema.safeParse(row.value);
      if (Number.isSafeInteger(index) && parsed.success) return [{ index, page: parsed.data }];
      this.#log.warn('row-unreadable', { key: row.key });
      return [];
    });
  }

  #toInterference(rows: readonly TableRow[]): LearntInterference {
    const row = rows.find(({ key }) => key === INTERFERENCE_KEY);
    if (row === undefined) return [];
    const parsed = learntInterferenceSchema.safeParse(row.value);
    if (!parsed.success) this.#log.warn('row-unreadable', { key: row.key });
    return parsed.success ? parsed.data : [];
  }

  #toRoster(rows: readonly TableRow[]): StoredState['roster'] {
    const row = rows.find(({ key }) => key === ROSTER_KEY);
    if (row === undefined) return NO_ROSTER;
    const parsed = rosterSchema.safeParse(row.value);
    if (!parsed.success) this.#log.warn('row-unreadable', { key: row.key });
    return parsed.success ? parsed.data : NO_ROSTER;
  }
}
