/**
 * Chooses which checkpoints are stored for the next owner. A page is one row with the checkpoints of
 * many tasks, and a page is written as a whole, because most tasks of a page have saved again since
 * it was written last. Intervals and sizes are bounded. Pages come first if the most work for their
 * size would be repeated without them.
 */
import {
  checkpointPageKey,
  type StoredCheckpoints,
} from '../../../services/submissions/common/submissionRows.js';
import type { RowWrite } from '../../../services/table/common/table.js';
import { type CheckpointEntry, StoredPage } from './checkpointPage.js';
import type { SavedProgress } from './savedProgress.js';
import type { TaskRecord } from './taskRecords.js';

/** Minimum time between two writes. */
const WRITE_INTERVAL_MS = 500;
/** Four pages are at most 64 KB, of the 1 MB that the table accepts per call. */
const MAXIMUM_PAGES_PER_WRITE = 4;
const MAXIMUM_PAGE_BYTES = 16_384;
/** Brackets, quotes, commas and the position of an entry. */
const ENTRY_OVERHEAD_BYTES = 14;
/** JSON encodes a character in at most this number of bytes. */
const MAXIMUM_CHARACTER_BYTES = 6;
const PLAIN_TEXT = /^[\w+/=.:-]*$/u;

/** Returns an upper bound of the size of a checkpoint in a stored row. */
const entryBytes = (checkpoint: string): number =>
  ENTRY_OVERHEAD_BYTES +
  checkpoint.length * (PLAIN_TEXT.test(checkpoint) ? 1 : MAXIMUM_CHARACTER_BYTES);

const positionOf = ({ step, position, index }: TaskRecord): number =>
  step.isGang ? position - index : position;

const processorMillisOf = ({ step }: TaskRecord): number =>
  step.size.processorMillis * (step.isGang ? step.taskCount : 1);

const hasRoom = (page: StoredPage, entry: CheckpointEntry): boolean =>
  page.bytesWith(entry) <= MAXIMUM_PAGE_BYTES;

/** A page in a transaction without an answer, with the checkpoints that it contains. */
interface WrittenPage {
  readonly checkpoints: ReadonlyMap<CheckpointEntry, string>;
  readonly writtenAtMs: number;
}

interface InheritedCheckpoint {
  readonly page: StoredPage;
  readonly checkpoint: string;
}

export class CheckpointPages {
  readonly #pages = new Map<number, StoredPage>();

  readonly #entries = new Map<SavedProgress, CheckpointEntry>();

  /** The checkpoints that former owners stored, by submission and position. */
  readonly #inherited = new Map<string, Map<number, InheritedCheckpoint>>();

  #written: readonly WrittenPage[] = [];

  #nextWriteAtMs = 0;

  /** False if nothing has changed since there was no page to write. */
  #mayHaveChanges = true;

  /** Takes over the pages of former owners, in the order in which they were written. */
  inherit(stored: readonly StoredCheckpoints[]): void {
    stored.forEach(({ index, page }) => {
      const storedPage = this.#pageAt(index);
      Object.entries(page).forEach(([id, checkpoints]) => {
        const ofSubmission = this.#inherited.get(id) ?? new Map<number, InheritedCheckpoint>();
        this.#inherited.set(id, ofSubmission);
        checkpoints.forEach(([position, checkpoint]) =>
          ofSubmission.set(position, { page: storedPage, checkpoint }),
        );
      });
    });
  }

  /** Gives a new record of a task the checkpoint that a former owner has stored. */
  restore(task: TaskRecord, nowMs: number): void {
    const ofSubmission = this.#inherited.get(task.submission.submission.id);
    const inherited = ofSubmission?.get(positionOf(task));
    if (task.isDone || inherited === undefined || this.#entries.has(task.saved)) return;
    const { page, checkpoint } = inherited;
    task.saved.inherit(checkpoint, nowMs);
    const entry = this.#newEntry(task, nowMs);
    entry.storedCheckpoint = checkpoint;
    page.add(entry);
  }

  /** Records the checkpoint that a worker lists for a run that was started at `startedAtMs`. */
  noteListed(task: TaskRecord, checkpoint: string, startedAtMs: number, nowMs: number): void {
    if (!task.saved.noteListed(checkpoint, nowMs) || task.isDone) return;
    this.#mayHaveChanges = true;
    const known = this.#entries.get(task.saved);
    if (known === undefined) this.#place(this.#newEntry(task, startedAtMs));
    else this.#resize(known);
  }

  /** Removes the checkpoint of a task that does not start again. */
  remove({ saved }: TaskRecord): void {
    const entry = this.#entries.get(saved);
    if (entry === undefined) return;
    this.#mayHaveChanges = true;
    this.#entries.delete(saved);
    entry.page?.remove(entry);
  }

  /** Returns the rows to write now; `isStored` returns whether the table has a row. */
  takeDueWrites(isStored: (key: string) => boolean, nowMs: number): readonly RowWrite[] {
    this.#written = [];
    if (!this.#mayHaveChanges || nowMs < this.#nextWriteAtMs) return [];
    const pages = this.#pagesToWrite(isStored, nowMs);
    this.#mayHaveChanges = pages.length > 0;
    if (pages.length === 0) return [];
    this.#written = pages.map(({ entries }) => ({
      checkpoints: new Map(entries.map((entry) => [entry, entry.saved.checkpoint])),
      writtenAtMs: nowMs,
    }));
    this.#nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
    return pages.map((page) => ({
      key: checkpointPageKey(page.index),
      value: page.toRow() ?? null,
    }));
  }

  /** The rows that `takeDueWrites` returned last are stored. */
  noteCommitted(): void {
    this.#written.forEach(({ checkpoints, writtenAtMs }) =>
      checkpoints.forEach((checkpoint, entry) => {
        entry.storedCheckpoint = checkpoint;
        entry.storedAtMs = writtenAtMs;
      }),
    );
    this.#written = [];
  }

  #pagesToWrite(isStored: (key: string) => boolean, nowMs: number): readonly StoredPage[] {
    const pages = [...this.#pages.values()];
    const obsolete = pages.filter(
      ({ isEmpty, index }) => isEmpty && isStored(checkpointPageKey(index)),
    );
    const changed = pages
      .map((page) => ({ page, unstoredMsPerByte: page.unstoredProcessorMs(nowMs) / page.bytes }))
      .filter(({ unstoredMsPerByte }) => unstoredMsPerByte > 0)
      .sort((left, right) => right.unstoredMsPerByte - left.unstoredMsPerByte)
      .map(({ page }) => page);
    return [...changed, ...obsolete].slice(0, MAXIMUM_PAGES_PER_WRITE);
  }

  #newEntry(task: TaskRecord, storedAtMs: number): CheckpointEntry {
    const { saved } = task;
    const entry: CheckpointEntry = {
      submissionId: task.submission.submission.id,
      position: positionOf(task),
      saved,
      page: undefined,
      processorMillis: processorMillisOf(task),
      bytes: entryBytes(saved.checkpoint),
      storedCheckpoint: '',
      storedAtMs,
    };
    this.#entries.set(saved, entry);
    return entry;
  }

  #resize(entry: CheckpointEntry): void {
    const bytes = entryBytes(entry.saved.checkpoint);
    if (bytes === entry.bytes) return;
    const { page } = entry;
    entry.page?.remove(entry);
    entry.bytes = bytes;
    if (page !== undefined && hasRoom(page, entry)) page.add(entry);
    else this.#place(entry);
  }

  /**
   * Adds the entry to a page that has room, if possible one with the id of its submission. A
   * checkpoint larger than a page is left out.
   */
  #place(entry: CheckpointEntry): void {
    if (!hasRoom(new StoredPage(0), entry)) return;
    const pages = [...this.#pages.values()].filter((page) => hasRoom(page, entry));
    const ofSubmission = pages.find((page) => page.has(entry.submissionId));
    const page = ofSubmission ?? pages[0] ?? this.#pageAt(this.#unusedIndex());
    page.add(entry);
  }

  #unusedIndex(): number {
    let index = 0;
    while (this.#pages.has(index)) index += 1;
    return index;
  }

  #pageAt(index: number): StoredPage {
    const page = this.#pages.get(index) ?? new StoredPage(index);
    this.#pages.set(index, page);
    return page;
  }
}
