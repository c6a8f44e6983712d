/** One stored row with the checkpoints of tasks of several submissions. */
import type { CheckpointPage } from '../../../services/submissions/common/submissionRows.js';
import type { SavedProgress } from './savedProgress.js';

/** The checkpoint of a task or of a gang, and what of it is stored. */
export interface CheckpointEntry {
  readonly submissionId: string;
  /** The position of the task, or of the first member of the gang. */
  readonly position: number;
  readonly saved: SavedProgress;
  /** Undefined if the checkpoint is too large to be stored. */
  page: StoredPage | undefined;
  /** The processors of the task, or of all members of the gang. */
  readonly processorMillis: number;
  /** An upper bound of the size in the stored row. */
  bytes: number;
  storedCheckpoint: string;
  /** When the stored checkpoint was written; before the first write, when the run was started. */
  storedAtMs: number;
}

/** Quotes, brackets, commas and the colon of a submission's entries. */
const SUBMISSION_OVERHEAD_BYTES = 6;

export class StoredPage {
  readonly #bySubmission = new Map<string, Set<CheckpointEntry>>();

  #bytes = 0;

  constructor(readonly index: number) {}

  get bytes(): number {
    return this.#bytes;
  }

  get isEmpty(): boolean {
    return this.#bySubmission.size === 0;
  }

  get entries(): readonly CheckpointEntry[] {
    return [...this.#bySubmission.values()].flatMap((entries) => [...entries]);
  }

  has(submissionId: string): boolean {
    return this.#bySubmission.has(submissionId);
  }

  /** The size of the page with the entry. */
  bytesWith({ submissionId, bytes }: CheckpointEntry): number {
    const overheadBytes = this.has(submissionId) ? 0 : StoredPage.#overheadBytes(submissionId);
    return this.#bytes + bytes + overheadBytes;
  }

  add(entry: CheckpointEntry): void {
    const { submissionId } = entry;
    this.#bytes = this.bytesWith(entry);
    const entries = this.#bySubmission.get(submissionId) ?? new Set();
    this.#bySubmission.set(submissionId, entries.add(entry));
    entry.page = this;
  }

  remove(entry: CheckpointEntry): void {
    const { submissionId } = entry;
    const entries = this.#bySubmission.get(submissionId);
    if (entries?.delete(entry) !== true) return;
    entry.page = undefined;
    this.#bytes -= entry.bytes;
    if (entries.size > 0) return;
    this.#bySubmission.delete(submissionId);
    this.#bytes -= StoredPage.#overheadBytes(submissionId);
  }

  /** Returns the processor time that is repeated at most if only the stored checkpoints are left. */
  unstoredProcessorMs(nowMs: number): number {
    let sum = 0;
    this.#bySubmission.forEach((entries) =>
      entries.forEach(({ saved, storedCheckpoint, storedAtMs, processorMillis }) => {
        if (saved.checkpoint === storedCheckpoint) return;
        sum += processorMillis * Math.max(1, nowMs - storedAtMs);
      }),
    );
    return sum;
  }

  /** Returns the page in its stored form; undefined if it has no entries. */
  toRow(): CheckpointPage | undefined {
    if (this.isEmpty) return undefined;
    return Object.fromEntries(
      [...this.#bySubmission].map(([id, entries]) => [
        id,
        [...entries].map(({ position, saved }) => [position, saved.checkpoint]),
      ]),
    );
  }

  static #overheadBytes(submissionId: string): number {
    return submissionId.length + SUBMISSION_OVERHEAD_BYTES;
  }
}
