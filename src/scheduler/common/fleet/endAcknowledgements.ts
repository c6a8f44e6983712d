/** Decides up to which ends of runs the workers may be told that they are recorded. */
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { SubmissionRecord } from './taskRecords.js';

/** Ends of one process of a worker, up to a sequence number. */
export interface RecordedSequence {
  readonly view: FleetWorkerView;
  readonly incarnation: number;
  readonly sequence: number;
}

const toSequence = (view: FleetWorkerView): RecordedSequence => ({
  view,
  incarnation: view.incarnation,
  sequence: view.handledSequence,
});

/** Ends that are recorded once the progress of these submissions is stored. */
interface AwaitedEnds {
  readonly sequences: readonly RecordedSequence[];
  readonly records: Set<SubmissionRecord>;
}

/**
 * Under load there is always progress that is not stored yet, so acknowledgements do not wait until
 * there is none. They wait until what was not stored at one point has been stored.
 */
export class EndAcknowledgements {
  #awaited: AwaitedEnds | undefined;

  /** Notes the ends handled so far, unless ends that were noted before are still awaited. */
  begin(views: readonly FleetWorkerView[], unstored: ReadonlySet<SubmissionRecord>): void {
    this.#awaited ??= { sequences: views.map(toSequence), records: new Set(unstored) };
  }

  /**
   * Returns the ends that are recorded once a transaction has stored the progress of `records`.
   * `unstored` is the progress that the transaction leaves.
   */
  takeRecorded(
    records: readonly SubmissionRecord[],
    unstored: ReadonlySet<SubmissionRecord>,
    views: readonly FleetWorkerView[],
  ): readonly RecordedSequence[] {
    const awaited = this.#awaited;
    records.forEach((record) => awaited?.records.delete(record));
    if (unstored.size === 0) {
      this.#awaited = undefined;
      return views.map(toSequence);
    }
    if (awaited === undefined || awaited.records.size > 0) return [];
    this.#awaited = undefined;
    return awaited.sequences;
  }

  /** Starts anew because a transaction may not be stored. */
  reset(): void {
    this.#awaited = undefined;
  }

  static record(sequences: readonly RecordedSequence[]): void {
    sequences.forEach(({ view, incarnation, sequence }) => {
      if (view.incarnation !== incarnation) return;
      view.recordedSequence = Math.max(view.recordedSequence, sequence);
    });
  }
}
