import { left, right } from 'fp-ts/lib/Either.js';
import { beforeEach, describe, expect, it, vi } from 'vitest';

import { silentLog } from '../../log/common/log.js';
import { silentMetrics } from '../../metrics/common/metrics.js';
import { CallGuard } from '../common/callGuard.js';
import { ErrorKind, errorBody, failure, WorkOutcome } from '../common/errorKinds.js';

describe('the guard of calls', () => {
  const error = vi.fn();
  const count = vi.fn();
  let nowMs = 0;
  let guard: CallGuard;

  beforeEach(() => {
    vi.clearAllMocks();
    guard = new CallGuard({
      clock: { nowMs: () => nowMs },
      log: { ...silentLog, error },
      metrics: { ...silentMetrics, count },
    });
  });

  it('returns the results of calls that do not throw', async () => {
    const failed = left(failure(ErrorKind.StoreUnavailable, 'refused'));
    expect(await guard.run('read', async () => right(1))).toEqual(right(1));
    expect(await guard.run('read', async () => failed)).toEqual(failed);
    expect(error).not.toHaveBeenCalled();
  });

  it.each([
    [
      'throws',
      () => {
        throw new TypeError('Invalid URL');
      },
    ],
    ['rejects', () => Promise.reject(new TypeError('Invalid URL'))],
  ])('does not know whether a call that %s has had an effect', async (_how, call) => {
    const result = await guard.run('hold', call);
    const cause = result._tag === 'Left' ? errorBody(result.left) : undefined;
    expect(cause).toMatchObject({ error: 'internal', workOutcome: WorkOutcome.Unknown });
  });

  it('counts each exception, and logs one a second with its stack', async () => {
    const call = () => Promise.reject(new TypeError('Invalid URL'));
    for (nowMs = 0; nowMs < 2_000; nowMs += 100) {
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await guard.run('hold', call);
    }
    expect(count).toHaveBeenCalledTimes(20);
    expect(count).toHaveBeenCalledWith('calls_thrown', { call: 'hold' });
    const stack: unknown = expect.stringContaining('callGuard.test');
    const fields = { call: 'hold', message: 'Invalid URL', stack };
    expect(error.mock.calls).toEqual([
      ['call-thrown', fields],
      ['call-thrown', fields],
    ]);
  });
});
