import { request as rawRequest } from 'node:http';

import { request } from 'undici';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import type { ErrorBody } from '../../services/errors/common/errorKinds.js';
import { service, SIZE } from './operatorHarness.js';
import { TestOperatorServer } from './operatorServerHarness.js';

const HUGE_BYTES = 50 * 1024 * 1024;
const HUGE_SIZE = { processorMillis: 9_000, memoryBytes: 1, acceleratorCount: 0 };

const server = new TestOperatorServer();
const { table } = server;
beforeAll(() => server.listen());
afterAll(() => server.close());

interface Answer {
  readonly statusCode: number;
  readonly body: ErrorBody;
}

const post = async (body: string, token = 'ann-token', path = '/v1/plans'): Promise<Answer> => {
  const response = await request(`http://${server.address}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${token}` },
    body,
  });
  return { statusCode: response.statusCode, body: (await response.body.json()) as ErrorBody };
};

const plan = (intent: unknown): Promise<Answer> => post(JSON.stringify({ intent }));

/** Announces a body of 50 MB, sends its first bytes and waits for the answer. */
const postHugeBody = (): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const call = rawRequest({
      host: '127.0.0.1',
      port: server.port,
      path: '/v1/plans',
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'content-length': HUGE_BYTES,
        authorization: 'Bearer ann-token',
      },
    });
    call.on('response', (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('end', () => {
        const body = JSON.parse(Buffer.concat(parts).toString()) as ErrorBody;
        resolve({ statusCode: response.statusCode ?? 0, body });
        call.destroy();
      });
    });
    call.on('error', reject);
    call.write('{"intent":"');
  });

const job = { team: 'kitchen', submissionKey: 'k', taskCount: 1, size: SIZE, workMs: 1 };
const limit = { processorMillis: 1, memoryBytes: 1, acceleratorCount: 0 };

const BAD_INTENTS: readonly (readonly [string, unknown, number, string])[] = [
  ['an unknown field', { intent: 'withdraw-zone', zone: 'zone-a', force: true }, 400, 'force'],
  ['an unknown intent', { intent: 'drop-everything' }, 400, 'is none of create-service'],
  ['a missing field', { intent: 'withdraw-zone' }, 400, 'intent.zone'],
  ['no intent at all', undefined, 400, 'intent'],
  ['a bad name', { intent: 'withdraw-zone', zone: '../x' }, 400, 'is not a valid name'],
  [
    'a negative size',
    { intent: 'submit-job', ...job, size: { ...SIZE, memoryBytes: -1 } },
    400,
    'intent.size.memoryBytes',
  ],
  [
    'a job whose task fits on no worker',
    { intent: 'submit-job', ...job, size: HUGE_SIZE },
    422,
    'large enough',
  ],
  [
    'a service whose task fits on no worker',
    { intent: 'create-service', service: { ...service('x'), size: HUGE_SIZE } },
    422,
    'large enough',
  ],
  [
    'a name that is taken',
    { intent: 'create-service', service: service('rounds', 'other') },
    422,
    'the name rounds is taken',
  ],
  ['a service that does not exist', { intent: 'remove-service', name: 'x' }, 422, 'no service x'],
  [
    'withdrawing a zone that does not exist',
    { intent: 'withdraw-zone', zone: 'x' },
    422,
    'availability zone x',
  ],
  [
    'using a zone that does not exist',
    { intent: 'use-zone', zone: 'x', region: 'r' },
    422,
    'availability zone x',
  ],
  ['a worker that does not exist', { intent: 'drain-worker', workerId: 'x' }, 422, 'no worker x'],
  ['a job that does not exist', { intent: 'cancel-jobs', jobIds: ['a.b'] }, 422, 'a.b'],
  [
    'too many jobs at once',
    { intent: 'cancel-jobs', jobIds: Array.from({ length: 1_001 }, (_, index) => `a.${index}`) },
    400,
    'intent.jobIds',
  ],
  [
    'a quota below the resources of services',
    { intent: 'set-quota', team: 'kitchen', limit },
    422,
    'kitchen uses 12 processors',
  ],
  [
    'a quota below the resources of a running job',
    { intent: 'set-quota', team: 'bakers', limit },
    422,
    'bakers uses 2 processors',
  ],
  [
    'the same submission twice in one intent',
    {
      intent: 'submit-jobs',
      jobs: [
        { ...job, size: SIZE },
        { ...job, size: SIZE },
      ],
    },
    400,
    'name the same submission twice',
  ],
  [
    'more tasks than one plan allows',
    {
      intent: 'submit-jobs',
      jobs: ['a', 'b'].map((key) => ({ ...job, submissionKey: key, size: SIZE, taskCount: 6_000 })),
    },
    400,
    'more than 10000 tasks',
  ],
  ['a version that does not exist', { intent: 'revert', version: 9 }, 422, 'no version 9'],
  [
    'a policy value out of bounds',
    { intent: 'set-policy', policy: { maximumReplicaCount: 0 } },
    400,
    'maximumReplicaCount',
  ],
];

describe('bad input to the operator interface', () => {
  let before: unknown;
  beforeEach(() => {
    before = table.read({ keys: [], prefixes: [''] });
  });

  it.each(BAD_INTENTS)(
    '%s gets one clear error and changes nothing',
    async (_name, intent, code, text) => {
      const { statusCode, body } = await plan(intent);
      expect(body.message).toContain(text);
      expect(statusCode).toBe(code);
      expect(body.workOutcome).toBe('not-run');
      expect(body.message.length).toBeLessThan(300);
      expect(table.read({ keys: [], prefixes: [''] })).toEqual(before);
    },
  );

  it('a body that is not JSON gets one clear error and changes nothing', async () => {
    const { statusCode, body } = await post('{"intent":');
    expect([statusCode, body.error]).toEqual([400, 'bad-request']);
    expect(table.read({ keys: [], prefixes: [''] })).toEqual(before);
  });

  // Reading such bodies whole would exhaust the daemon's memory, and callers' requests would fail.
  it('a body of 50 MB is refused before it is read', async () => {
    const { statusCode, body } = await postHugeBody();
    expect([statusCode, body.error, body.workOutcome]).toEqual([413, 'body-too-large', 'not-run']);
    expect(table.read({ keys: [], prefixes: [''] })).toEqual(before);
  });

  it('an unknown token or an insufficient role is refused', async () => {
    const body = JSON.stringify({ intent: { intent: 'withdraw-zone', zone: 'zone-a' } });
    expect((await post(body, 'guessed')).body.error).toBe('unauthorised');
    expect((await post(body, 'vic-token')).body.error).toBe('forbidden');
    const confirmation = await post('{"digest":"x"}', 'vic-token', '/v1/plans/x/confirm');
    expect(confirmation.body.error).toBe('forbidden');
    expect(table.read({ keys: [], prefixes: [''] })).toEqual(before);
  });
});
