/** Decides up to which ends of runs the workers may be told that they are recorded. */
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { SubmissionPart } from './submissionParts.js';

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

/** Ends that are recorded once the progress of these parts is stored. */
interface AwaitedEnds {
  readonly sequences: readonly RecordedSequence[];
  readonly parts: Set<SubmissionPart>;
}

/**
 * Under load there is always progress that is not stored yet, so acknowledgements do not wait until
 * there is none. They wait until what was not stored at one point has been stored.
 */
export class EndAcknowledgements {
  #awaited: AwaitedEnds | undefined;

  /** Notes the ends handled so far, unless ends that were noted before are still awaited. */
  begin(views: readonly FleetWorkerView[], unstored: ReadonlySet<SubmissionPart>): void {
    this.#awaited ??= { sequences: views.map(toSequence), parts: new Set(unstored) };
  }

  /**
   * Returns the ends that are recorded once a transaction has stored the progress of `parts`.
   * `unstored` is the progress that the transaction leaves.
   */
  takeRecorded(
    parts: readonly SubmissionPart[],
    unstored: ReadonlySet<SubmissionPart>,
    views: readonly FleetWorkerView[],
  ): readonly RecordedSequence[] {
    const awaited = this.#awaited;
    parts.forEach((part) => awaited?.parts.delete(part));
    if (unstored.size === 0) {
      this.#awaited = undefined;
      return views.map(toSequence);
    }
    if (awaited === undefined || awaited.parts.size > 0) return [];
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
