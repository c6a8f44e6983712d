/** What the table stores in one row and in one transaction. */
import type { RowWrite } from '../../../services/table/common/table.js';

export interface StoreLimits {
  readonly maximumRowBytes: number;
}

export const DEFAULT_STORE_LIMITS: StoreLimits = { maximumRowBytes: 65_536 };

/**
 * The table accepts a hundred entries per call, conditions and writes together. The owner row's
 * condition is one of them.
 */
const MAXIMUM_WRITES = 49;
/** The table accepts a megabyte per call, with values in base64 and the names of rows. */
const MAXIMUM_TRANSACTION_BYTES = 1_000_000;
const BASE64_FACTOR = 4 / 3;
/** The operation id that is stored with each value, and the names of a row and its condition. */
const VALUE_OVERHEAD_BYTES = 200;
const ENTRY_OVERHEAD_BYTES = 800;

/** An upper bound for the progress and the assignment of a task in a row that describes all tasks. */
const TYPICAL_TASK_BYTES = 64;
/** The same with an id of the greatest length for each worker and with a hundred attempts. */
const LARGEST_TASK_BYTES = 1_280;

/** How many tasks one row may describe from the beginning. */
export const tasksInOneRow = ({ maximumRowBytes }: StoreLimits): number =>
  Math.floor(maximumRowBytes / TYPICAL_TASK_BYTES);

/** How many tasks each page of a larger submission describes. */
export const tasksInOnePage = ({ maximumRowBytes }: StoreLimits): number =>
  Math.max(1, Math.floor(maximumRowBytes / LARGEST_TASK_BYTES));

const valueBytes = ({ value }: RowWrite): number =>
  value === null ? 0 : Buffer.byteLength(JSON.stringify(value));

export interface RowSize {
  readonly key: string;
  readonly bytes: number;
}

export const Fit = { Fits: 'fits', Full: 'full', TooLarge: 'too-large' } as const;
export type Fit = (typeof Fit)[keyof typeof Fit];

/** Collects the writes of a transaction up to its limits. */
export class TransactionBudget {
  readonly #limits: StoreLimits;

  #writeCount = 0;

  #bytes = 0;

  /** The rows that were left out because the table stores none of their size. */
  readonly tooLarge: RowSize[] = [];

  constructor(limits: StoreLimits) {
    this.#limits = limits;
  }

  /** Adds writes that belong together, or none of them. */
  add(writes: readonly RowWrite[]): Fit {
    const sizes = writes.map((write) => ({ key: write.key, bytes: valueBytes(write) }));
    const largestBytes = this.#limits.maximumRowBytes - VALUE_OVERHEAD_BYTES;
    const tooLarge = sizes.filter(({ bytes }) => bytes > largestBytes);
    this.tooLarge.push(...tooLarge);
    if (tooLarge.length > 0) return Fit.TooLarge;
    const bytes = sizes.reduce(
      (sum, size) =>
        sum + (size.bytes + VALUE_OVERHEAD_BYTES) * BASE64_FACTOR + ENTRY_OVERHEAD_BYTES,
      0,
    );
    const isFull =
      this.#writeCount + writes.length > MAXIMUM_WRITES ||
      this.#bytes + bytes > MAXIMUM_TRANSACTION_BYTES;
    if (isFull) return Fit.Full;
    this.#writeCount += writes.length;
    this.#bytes += bytes;
    return Fit.Fits;
  }
}
