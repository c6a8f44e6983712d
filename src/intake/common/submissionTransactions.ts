/** The transactions that an entry instance commits for a submission. */
import type { JsonValue } from '../../base/common/json.js';
import type { Submission } from '../../services/submissions/common/submission.js';
import { cancelKey, specKey } from '../../services/submissions/common/submissionRows.js';
import { ABSENT_VERSION, type Transaction } from '../../services/table/common/table.js';

/**
 * Stores a submission at most once. The answer to this transaction may be lost and its caller
 * told, after a cancellation, that the submission does not exist. The condition on the
 * cancellation row keeps the transaction from committing after that.
 */
export const acceptTransaction = (submission: Submission, operationId: string): Transaction => ({
  operationId,
  conditions: [
    { key: specKey(submission.id), version: ABSENT_VERSION },
    { key: cancelKey(submission.id), version: ABSENT_VERSION },
  ],
  writes: [{ key: specKey(submission.id), value: submission as unknown as JsonValue }],
});

/** Cancels the submission with the id, whether it is stored already or arrives later. */
export const cancelTransaction = (id: string, operationId: string): Transaction => ({
  operationId,
  conditions: [],
  writes: [{ key: cancelKey(id), value: {} }],
});
