/** The terms of the queue of a submission, for as long as the submission is open. */
import {
  findQueueByName,
  type FleetConfiguration,
} from '../../../services/fleet/common/fleetConfiguration.js';
import type { QueueTerms, Submission } from '../../../services/submissions/common/submission.js';

/** For submissions that older builds accepted, whose queue the configuration does not name. */
const UNKNOWN_TERMS: QueueTerms = {
  priority: 0,
  maximumAttempts: 1,
  objectiveStretch: 1,
  objectiveMs: 0,
};

/** Returns the terms in force, or else those under which the submission was accepted. */
export const queueTermsOf = (
  { queueName, queueTerms }: Submission,
  configuration: FleetConfiguration | undefined,
): QueueTerms => {
  const queue = configuration && findQueueByName(configuration, queueName);
  return queue ?? queueTerms ?? UNKNOWN_TERMS;
};
