import { isLeft } from 'fp-ts/lib/Either.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { PlatformServer } from '../../../../standIns/platform/platformServer.js';
import type { InstanceListAnswer } from '../common/instanceList.js';
import { initialReadSchedule, nextInterval, scheduleAfterRead } from '../common/readSchedule.js';
import { HttpInstanceList } from '../node/httpInstanceList.js';
import { ListPlatform, workerNamed } from './listPlatform.js';

const TIMEOUT_MS = 2_000;

let platform: ListPlatform;
let list: HttpInstanceList;

beforeEach(async () => {
  platform = new ListPlatform();
  platform.instances = [workerNamed('w1')];
  list = new HttpInstanceList(await platform.listen(), TIMEOUT_MS);
});

afterEach(async () => {
  list.dispose();
  await platform.close();
});

const readList = async (from: HttpInstanceList = list): Promise<InstanceListAnswer | undefined> => {
  const read = await from.read()();
  return isLeft(read) ? undefined : read.right;
};

const readStates = async (): Promise<readonly string[] | undefined> =>
  (await readList())?.instances?.map(({ id, state }) => `${id} ${state}`);

describe('a platform that supports entity tags', () => {
  it('sends the full list only when it has changed', async () => {
    platform.etag = '"1"';
    expect(await readStates()).toEqual(['w1 live']);
    expect(await readList()).toEqual({ instances: undefined, isConditional: true });
    platform.instances = [workerNamed('w1', 'leaving')];
    platform.etag = '"2"';
    expect(await readStates()).toEqual(['w1 leaving']);
    expect(await readList()).toEqual({ instances: undefined, isConditional: true });
    expect(platform.answers).toEqual(['POST 200', 'GET 304', 'GET 200', 'GET 304']);
  });

  // Guards against requests that still go to a leaving worker. The platform restarts and counts its
  // tags from the start, so the tag of the previous list now stands for another one. Because a read
  // failed in between, the client fetches the full list.
  it('is asked for the full list after an outage, because its tags may have restarted', async () => {
    platform.etag = '"1"';
    await readList();
    platform.isDown = true;
    expect(await readList()).toBeUndefined();
    platform.isDown = false;
    platform.instances = [workerNamed('w1', 'leaving')];
    expect(await readStates()).toEqual(['w1 leaving']);
    expect(platform.answers).toEqual(['POST 200', 'GET 503', 'POST 200']);
  });

  it('sends the full list when it no longer knows the tag', async () => {
    platform.etag = '"before"';
    await readList();
    platform.etag = '"after"';
    platform.instances = [workerNamed('w2')];
    expect(await readStates()).toEqual(['w2 live']);
  });

  it('is read by POST when it refuses GET', async () => {
    platform.etag = '"1"';
    platform.supportsGet = false;
    await readList();
    expect(await readList()).toEqual({ instances: undefined, isConditional: false });
    platform.instances = [workerNamed('w1', 'leaving')];
    expect(await readStates()).toEqual(['w1 leaving']);
    expect(platform.answers).toEqual(['POST 200', 'GET 405', 'POST 200', 'POST 200']);
  });

  it('has its tag remembered only with a valid list', async () => {
    platform.etag = '"1"';
    platform.instances = [{ kind: 'unheard of' }];
    expect(await readList()).toBeUndefined();
    platform.instances = [workerNamed('w1')];
    expect(await readStates()).toEqual(['w1 live']);
  });
});

describe('a platform without entity tags', () => {
  it('sends the full list each time, and identical bytes do not count as a change', async () => {
    expect(await readStates()).toEqual(['w1 live']);
    expect(await readList()).toEqual({ instances: undefined, isConditional: false });
    platform.instances = [workerNamed('w1', 'leaving')];
    expect(await readStates()).toEqual(['w1 leaving']);
    expect(platform.answers).toEqual(['POST 200', 'POST 200', 'POST 200']);
  });

  it('causes failed reads while it is down and sends the list afterwards', async () => {
    await readList();
    platform.isDown = true;
    expect(await readList()).toBeUndefined();
    platform.isDown = false;
    platform.instances = [workerNamed('w2')];
    expect(await readStates()).toEqual(['w2 live']);
  });
});

describe('the stand-in of the platform', () => {
  it('answers a conditional read', async () => {
    const standIn = new PlatformServer(1);
    const standInList = new HttpInstanceList(
      `http://127.0.0.1:${await standIn.listen()}`,
      TIMEOUT_MS,
    );
    expect(await readList(standInList)).toEqual({ instances: [], isConditional: true });
    expect(await readList(standInList)).toEqual({ instances: undefined, isConditional: true });
    standInList.dispose();
    await standIn.close();
  });
});

describe('the schedule of reads', () => {
  const REPEAT: InstanceListAnswer = { instances: undefined, isConditional: false };

  /** Returns `r` for each interval with a read and `-` for each skipped one. */
  const readsWith = (answers: readonly InstanceListAnswer[]): string => {
    let schedule = initialReadSchedule();
    return answers
      .map((answer) => {
        const step = nextInterval(schedule);
        schedule = step.isDue ? scheduleAfterRead(step.schedule, answer) : step.schedule;
        return step.isDue ? 'r' : '-';
      })
      .join('');
  };

  // A leaving instance must get no new work after 3 s, and the list itself lags. At an interval of
  // 1 s, two consecutive reads must never be skipped.
  it('skips every other read while the full list repeats, and never two in a row', () => {
    expect(readsWith(new Array(12).fill(REPEAT))).toBe('rrrrr-r-r-r-');
  });

  it('skips no read while the platform answers that nothing has changed', () => {
    expect(readsWith(new Array(9).fill({ ...REPEAT, isConditional: true }))).toBe('rrrrrrrrr');
  });

  it('returns to the full rate after a change', () => {
    const change = { instances: [workerNamed('w1')], isConditional: false };
    const answers = [...new Array(6).fill(REPEAT), change, ...new Array(6).fill(REPEAT)];
    expect(readsWith(answers)).toBe('rrrrr-rrrrrr-');
  });
});
