/** Verifies that the judge of the platform soak reports each violation and nothing else. */
import { beforeEach, describe, expect, it } from 'vitest';

import { FaultWindows } from './faultWindows.js';
import { PlatformJudge } from './platformJudge.js';
import { FaultScope, RunOutcome } from './soakTypes.js';

const SIZE = { processorMillis: 1_000, memoryMegabytes: 500 };
const ROOM_FOR_FOUR = { processorMillis: 4_000, memoryMegabytes: 2_000 };
const CHAIN = 'aaaaaaaaaaaaaaaa';
const PERSISTENT = 'bbbbbbbbbbbbbbbb';
const FIRST_TASK = `${CHAIN}.0.0.0`;
const SECOND_TASK = `${CHAIN}.0.1.0`;
const PERSISTENT_TASK = `${PERSISTENT}.0.0.0`;

const step = (after: readonly number[], isPersistent: boolean) => ({
  taskCount: 1,
  size: SIZE,
  after,
  workMs: 100,
  isPersistent,
});

describe('the judge of the platform soak', () => {
  let faultWindows: FaultWindows;
  let judge: PlatformJudge;

  beforeEach(() => {
    faultWindows = new FaultWindows();
    judge = new PlatformJudge(faultWindows);
    ['w1', 'w2'].forEach((key) =>
      judge.noteWorker({ key, workerId: key, capacity: ROOM_FOR_FOUR }),
    );
    judge.noteSubmission({ id: CHAIN, steps: [step([], false), step([0], false)] });
    judge.noteSubmission({ id: PERSISTENT, steps: [step([], true)] });
  });

  const start = (
    taskName: string,
    incarnationKey: string,
    nowMs: number,
    run = 1,
    fence = 1,
  ): void => judge.noteStart({ incarnationKey, taskName, run, fence }, nowMs);

  const runToEnd = (taskName: string, incarnationKey: string, endedAtMs: number): void => {
    start(taskName, incarnationKey, endedAtMs - 100);
    judge.noteEnd(incarnationKey, taskName, RunOutcome.Done, endedAtMs);
  };

  const advanceJudge = (fromMs: number, untilMs: number): void => {
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 100) judge.advance(nowMs);
  };

  const expectFinding = (text: string): void => {
    expect(judge.findings).toEqual([expect.stringContaining(text)]);
  };

  it('finds nothing if a chain of steps runs as expected', () => {
    judge.noteAccepted(CHAIN, 0);
    runToEnd(FIRST_TASK, 'w1', 200);
    judge.noteListed('w1', 1, FIRST_TASK);
    judge.noteAcknowledged('w1', 1, 250);
    runToEnd(SECOND_TASK, 'w2', 500);
    judge.noteState(CHAIN, 'complete', 600, 610);
    judge.noteUnfinished(1_000);
    expect(judge.findings).toEqual([]);
  });

  // A task whose queue was removed started without end.
  it('reports a task that starts after all its attempts have failed', () => {
    [1, 2, 3].forEach((run) => {
      start(FIRST_TASK, 'w1', run * 200, run);
      judge.noteEnd('w1', FIRST_TASK, RunOutcome.Failed, run * 200 + 100);
      judge.noteListed('w1', run, FIRST_TASK);
      judge.noteAcknowledged('w1', run, run * 200 + 150);
    });
    expect(judge.findings).toEqual([]);
    start(FIRST_TASK, 'w1', 900, 4);
    expectFinding('all its attempts have failed');
  });

  it('reports a task that runs twice at the same time', () => {
    start(FIRST_TASK, 'w1', 100);
    start(FIRST_TASK, 'w2', 150, 2);
    expectFinding('runs at w1 too');
  });

  it('treats the tasks of a worker that is gone as ended', () => {
    start(FIRST_TASK, 'w1', 100);
    judge.noteWorkerGone('w1');
    start(FIRST_TASK, 'w2', 150, 2);
    expect(judge.findings).toEqual([]);
  });

  it('reports a start after a recorded end', () => {
    runToEnd(FIRST_TASK, 'w1', 200);
    judge.noteListed('w1', 1, FIRST_TASK);
    judge.noteAcknowledged('w1', 1, 250);
    start(FIRST_TASK, 'w2', 300, 2);
    expectFinding('its end is recorded');
  });

  it('reports an end that is recorded after the task was started again', () => {
    runToEnd(FIRST_TASK, 'w1', 200);
    judge.noteListed('w1', 1, FIRST_TASK);
    start(FIRST_TASK, 'w2', 300, 2);
    judge.noteAcknowledged('w1', 1, 350);
    expectFinding('started after the end that is recorded now');
  });

  it('allows a repeated run if the lease of the worker lapsed before the end was recorded', () => {
    runToEnd(FIRST_TASK, 'w1', 200);
    judge.noteListed('w1', 1, FIRST_TASK);
    judge.noteLeaseLapsed('w1');
    start(FIRST_TASK, 'w2', 300, 2);
    judge.noteAcknowledged('w1', 1, 350);
    expect(judge.findings).toEqual([]);
  });

  it('reports a worker over its capacity', () => {
    const id = 'cccccccccccccccc';
    judge.noteSubmission({ id, steps: [{ ...step([], false), taskCount: 5 }] });
    [0, 1, 2, 3, 4].forEach((index) => start(`${id}.0.0.${index}`, 'w1', 100));
    expectFinding('over capacity');
  });

  it('reports a fence that is lower than an earlier one on the same worker', () => {
    judge.noteFence('w1', 2, 100);
    judge.noteFence('w1', 1, 200);
    expectFinding('fence 1 had effect after 2');
  });

  it('reports an old fence on a later incarnation of a worker once the old leases are over', () => {
    judge.noteFence('w1', 2, 0);
    judge.noteWorkerGone('w1');
    judge.noteWorker({ key: 'w1 again', workerId: 'w1', capacity: ROOM_FOR_FOUR });
    judge.noteFence('w1 again', 1, 11_000);
    expect(judge.findings).toEqual([]);
    judge.noteFence('w1 again', 1, 13_000);
    expectFinding('fence 1 has effect long after 2');
  });

  it('treats fences of different workers as unrelated, as the platform does', () => {
    judge.noteFence('w1', 2, 0);
    judge.noteFence('w2', 1, 13_000);
    expect(judge.findings).toEqual([]);
  });

  it('reports an accepted submission that is answered 410', () => {
    judge.noteAccepted(CHAIN, 0);
    judge.noteState(CHAIN, undefined, 2_900, 2_950);
    expect(judge.findings).toEqual([]);
    judge.noteState(CHAIN, undefined, 3_100, 3_150);
    expectFinding('answered 410');
  });

  it('reports a refused submission that starts before or after the refusal', () => {
    start(FIRST_TASK, 'w1', 100);
    judge.noteRefused(CHAIN, 200);
    judge.noteRefused(PERSISTENT, 200);
    start(PERSISTENT_TASK, 'w1', 300);
    expect(judge.findings).toEqual([
      expect.stringContaining('was refused and has started'),
      expect.stringContaining('starts, and was refused'),
    ]);
  });

  it('reports a submission that is shown as complete before all its tasks are done', () => {
    judge.noteAccepted(CHAIN, 0);
    runToEnd(FIRST_TASK, 'w1', 200);
    judge.noteState(CHAIN, 'complete', 600, 610);
    expectFinding(`complete without ${SECOND_TASK}`);
  });

  it('reports a step that starts before the step it follows is done', () => {
    start(SECOND_TASK, 'w1', 100);
    expectFinding(`before ${FIRST_TASK} is done`);
  });

  it('reports a task of an unknown submission', () => {
    start('dddddddddddddddd.0.0.0', 'w1', 100);
    expectFinding('nobody asked for it');
  });

  it.each(['failed', 'cancelled'])('reports a submission shown as %s without cause', (state) => {
    judge.noteAccepted(CHAIN, 0);
    judge.noteState(CHAIN, state, 600, 610);
    expectFinding(`shown as ${state}`);
  });

  describe('after an acknowledged cancel', () => {
    beforeEach(() => {
      judge.noteAccepted(CHAIN, 0);
      judge.noteCancelSent(CHAIN);
      judge.noteCancelled(CHAIN, 10_000);
    });

    it('reports a late start', () => {
      start(FIRST_TASK, 'w1', 12_900);
      expect(judge.findings).toEqual([]);
      start(FIRST_TASK, 'w1', 13_100, 2);
      expect(judge.findings).toContainEqual(expect.stringContaining('3100 ms after cancel'));
    });

    it('reports a late start during planned work and process kills', () => {
      faultWindows.add(FaultScope.Planned, 9_000, 12_000);
      faultWindows.add(FaultScope.Unplanned, 9_000, 12_000);
      start(FIRST_TASK, 'w1', 13_100);
      expectFinding('3100 ms after cancel');
    });

    it('excuses a late start while daemons may have been cut off from the store', () => {
      faultWindows.add(FaultScope.Core, 11_000, 12_000);
      start(FIRST_TASK, 'w1', 13_100);
      expect(judge.findings).toEqual([]);
    });
  });

  describe('for a persistent task that has lost its worker', () => {
    beforeEach(() => {
      judge.noteAccepted(PERSISTENT, 0);
      start(PERSISTENT_TASK, 'w1', 100);
      judge.noteEnd('w1', PERSISTENT_TASK, RunOutcome.Other, 10_000);
    });

    it('reports a wait over nine seconds once', () => {
      advanceJudge(10_000, 19_000);
      expect(judge.findings).toEqual([]);
      advanceJudge(19_100, 25_000);
      expectFinding('waits for 9100 ms');
    });

    it('reports a long wait even during planned work', () => {
      faultWindows.add(FaultScope.Planned, 9_000, 25_000);
      advanceJudge(10_000, 19_100);
      expectFinding('waits for');
    });

    it('reports a long wait only after a calm period', () => {
      faultWindows.add(FaultScope.Unplanned, 15_000, 15_000);
      advanceJudge(10_000, 22_000);
      expect(judge.findings).toEqual([]);
      advanceJudge(22_100, 22_100);
      expectFinding('waits for');
    });

    it('reports a long wait only after there has been room for three seconds', () => {
      ['w1', 'w2'].forEach((key) => judge.noteDraining(key, 10_000));
      advanceJudge(10_000, 20_000);
      judge.noteWorker({ key: 'w3', workerId: 'w3', capacity: ROOM_FOR_FOUR });
      advanceJudge(20_100, 23_000);
      expect(judge.findings).toEqual([]);
      advanceJudge(23_100, 23_100);
      expectFinding('waits for');
    });

    it('reports no wait after the task is cancelled', () => {
      judge.noteCancelSent(PERSISTENT);
      advanceJudge(10_000, 30_000);
      expect(judge.findings).toEqual([]);
    });
  });

  it('reports chains that are not complete and persistent tasks that wait at the end', () => {
    judge.noteAccepted(CHAIN, 0);
    judge.noteState(CHAIN, 'running', 600, 610);
    judge.noteAccepted(PERSISTENT, 0);
    judge.noteUnfinished(1_000);
    expect(judge.findings).toEqual([
      expect.stringContaining(`${CHAIN} is running at the end`),
      expect.stringContaining(`${PERSISTENT_TASK} waits at the end`),
    ]);
  });
});
