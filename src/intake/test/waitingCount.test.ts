import { right } from 'fp-ts/lib/Either.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { describe, expect, it } from 'vitest';

import { systemClock } from '../../base/node/systemClock.js';
import { silentLog } from '../../services/log/common/log.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { WAITING_COUNTS_KEY } from '../../services/submissions/common/submissionRows.js';
import { SubmissionIntake } from '../node/submissionIntake.js';

const ROW = { key: WAITING_COUNTS_KEY, version: 1, operationId: 'counts' };

describe('the count of a queue without waiting submissions', () => {
  it.each(['queue', 'constructor', 'toString', '__proto__'])('is nought: %s', async (name) => {
    const intake = new SubmissionIntake({
      table: {
        read: () => TE.right({ rows: [{ ...ROW, value: { epoch: 1, byQueue: {} } }] }),
        transact: () => TE.right({ outcome: 'conflict', version: 0 }),
      },
      ...{ clock: systemClock, log: silentLog, metrics: silentMetrics },
      newOperationId: () => 'operation',
      maximumRowBytes: 65_536,
      liveEpoch: () => 1,
    });
    expect(await intake.waitingCount(name)).toEqual(right(0));
  });
});
