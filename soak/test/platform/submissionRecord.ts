/** The answers that clients got about one submission, and whether its tasks have started. */
import { type SoakSubmission, taskNames } from './soakTypes.js';

export class SubmissionRecord {
  readonly submission: SoakSubmission;

  acceptedAtMs: number | undefined;

  isRefused = false;

  hasStarted = false;

  isCancelSent = false;

  cancelledAtMs: number | undefined;

  completeAtMs: number | undefined;

  lastState: string | undefined;

  constructor(submission: SoakSubmission) {
    this.submission = submission;
  }

  get isExpectedToComplete(): boolean {
    const isFailing = this.submission.steps.some((step) => step.isFailing);
    return this.acceptedAtMs !== undefined && !this.isCancelSent && !isFailing;
  }

  allTaskNames(): readonly string[] {
    return this.submission.steps.flatMap((_, index) => taskNames(this.submission, index));
  }
}
