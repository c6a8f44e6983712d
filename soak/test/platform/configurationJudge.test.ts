import { beforeEach, describe, expect, it } from 'vitest';

import { ConfigurationJudge } from './configurationJudge.js';
import { CONFIGURATION_BOUND_MS } from './fleetWorkerOptions.js';

const CHANGED_AT_MS = 1_000;
const DUE_MS = CHANGED_AT_MS + CONFIGURATION_BOUND_MS;

describe('the judge of the configuration', () => {
  let judge: ConfigurationJudge;

  const check = (queue: string, isCounted: boolean, sentAtMs: number, nowMs = sentAtMs) =>
    judge.check({ processKey: 'instance#1', queue, isCounted, sentAtMs }, nowMs);

  beforeEach(() => {
    judge = new ConfigurationJudge();
    judge.noteStored(1, ['removed', 'again'], 0);
    judge.noteStored(4, ['added'], CHANGED_AT_MS);
  });

  it('finds a queue that is missing after its addition is due', () => {
    expect(check('added', false, DUE_MS)).toBeUndefined();
    expect(check('added', false, DUE_MS + 1)).toContain('as in version 1, sent 2001 ms after 4');
  });

  it('finds a queue that is counted after its removal is due', () => {
    expect(check('removed', true, DUE_MS)).toBeUndefined();
    expect(check('removed', true, DUE_MS + 1)).toContain('as in version 1, sent 2001 ms after 4');
  });

  it('goes by every version that explains an answer about a queue that was added again', () => {
    judge.noteStored(5, ['added', 'again'], CHANGED_AT_MS + 100);
    expect(check('again', true, DUE_MS + 1_000)).toBeUndefined();
    expect(check('again', false, DUE_MS + 1_000)).toContain('as in version 4');
  });

  it('finds a process that goes back to an older version', () => {
    expect(check('added', true, CHANGED_AT_MS + 10)).toBeUndefined();
    expect(check('removed', true, CHANGED_AT_MS + 200)).toBeUndefined();
    expect(check('removed', true, CHANGED_AT_MS + 300)).toContain('after it answered by 4');
  });

  it('finds an answer that no version explains', () => {
    expect(check('never', true, 10)).toContain('as in no version');
  });
});
