import { request } from 'undici';
import { beforeEach, describe, expect, it } from 'vitest';

import { TestOperatorServer } from './operatorServerHarness.js';

const PLAN_LIFETIME_MS = 60_000;
const WITHDRAWAL = { intent: { intent: 'withdraw-zone', zone: 'zone-a' } };

interface Answer {
  readonly statusCode: number;
  readonly retryAfter: unknown;
  readonly body: Readonly<Record<string, unknown>>;
}

let server: TestOperatorServer;
beforeEach(async () => {
  server = new TestOperatorServer();
  await server.listen();
  return () => server.close();
});

const call = async (
  method: 'GET' | 'POST',
  path: string,
  body: unknown = undefined,
  token = 'ann-token',
): Promise<Answer> => {
  const response = await request(`http://${server.address}${path}`, {
    method,
    headers: { 'content-type': 'application/json', authorization: `Bearer ${token}` },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return {
    statusCode: response.statusCode,
    retryAfter: response.headers['retry-after'],
    body: (await response.body.json()) as Answer['body'],
  };
};

interface PlanReference {
  readonly planId: string;
  readonly digest: string;
}

const makePlan = async (): Promise<PlanReference> =>
  (await call('POST', '/v1/plans', WITHDRAWAL)).body as unknown as PlanReference;

const confirm = ({ planId, digest }: PlanReference, token?: string): Promise<Answer> =>
  call('POST', `/v1/plans/${planId}/confirm`, { digest }, token);

const historyLength = async (): Promise<number> =>
  ((await call('GET', '/v1/history')).body as unknown as unknown[]).length;

describe('an error response to an operator', () => {
  // A plan confirmed an hour later would make changes that were planned for a different state.
  it('says that a plan has expired', async () => {
    const plan = await makePlan();
    server.wallMs = PLAN_LIFETIME_MS + 1;
    const { statusCode, body } = await confirm(plan);
    expect([statusCode, body.error, body.workOutcome]).toEqual([410, 'plan-expired', 'not-run']);
    expect(body.message).toContain(`plan ${plan.planId} expired`);
    server.wallMs = 0;
    expect(await historyLength()).toBe(1);
  });

  it('says that a digest belongs to another plan', async () => {
    const [one, other] = [await makePlan(), await makePlan()];
    const { statusCode, body } = await confirm({ ...one, digest: other.digest });
    expect([statusCode, body.error, body.workOutcome]).toEqual([409, 'plan-conflict', 'not-run']);
    expect(body.message).toContain(one.planId);
    expect(await historyLength()).toBe(1);
  });

  // The store makes the change and its answer is lost. The daemon retries by itself.
  it('is not sent if a lost answer can be retried, and the change is made once', async () => {
    const plan = await makePlan();
    server.lostAnswerCount = 1;
    const first = await confirm(plan);
    expect([first.statusCode, first.body.acceptedVersion]).toEqual([200, 2]);
    expect(await confirm(plan)).toEqual(first);
    expect(await historyLength()).toBe(2);
  });

  // The store becomes unavailable before the outcome is known. "Not run" could be wrong, so the
  // outcome is unknown, with a time to retry after. Confirming the same plan again returns the
  // outcome and makes one change.
  it('says that the outcome is unknown while the store is unavailable', async () => {
    const plan = await makePlan();
    server.isTableDown = true;
    const { statusCode, body, retryAfter } = await confirm(plan);
    expect([statusCode, body.error]).toEqual([503, 'store-answer-lost']);
    expect([body.workOutcome, body.isWorthRetrying, retryAfter]).toEqual(['unknown', true, '2']);
    expect(body.message).toContain('confirm it again');
    server.isTableDown = false;
    expect((await confirm(plan)).body.acceptedVersion).toBe(2);
    expect(await historyLength()).toBe(2);
  });

  it('says that the store is unavailable when planning or listing', async () => {
    server.isTableDown = true;
    const planned = await call('POST', '/v1/plans', WITHDRAWAL);
    expect(planned.statusCode).toBe(503);
    expect(planned.body).toMatchObject({ workOutcome: 'not-run', isWorthRetrying: true });
    const listed = await call('GET', '/v1/jobs');
    expect([listed.statusCode, listed.body.error]).toEqual([503, 'store-unavailable']);
  });

  it('names the missing role or says that the token is unknown', async () => {
    const plan = await makePlan();
    const forbidden = await confirm(plan, 'pat-token');
    expect([forbidden.statusCode, forbidden.body.error]).toEqual([403, 'forbidden']);
    expect(forbidden.body.message).toBe('pat has the role plan; this needs confirm');
    expect(forbidden.body.workOutcome).toBe('not-run');
    const planning = await call('POST', '/v1/plans', WITHDRAWAL, 'vic-token');
    expect(planning.body.message).toBe('vic has the role view; this needs plan');
    const unknown = await call('GET', '/v1/zones', undefined, 'guessed');
    expect([unknown.statusCode, unknown.body.error]).toEqual([401, 'unauthorised']);
    expect(unknown.body.message).toBe('the token is not known here');
  });

  it.each([
    ['a plan that does not exist', 'GET', '/v1/plans/x', undefined, 404, 'no plan x'],
    ['the progress of an unknown plan', 'GET', '/v1/plans/x/progress', undefined, 404, 'no plan x'],
    [
      'a confirmation of an unknown plan',
      'POST',
      '/v1/plans/x/confirm',
      { digest: 'd' },
      404,
      'no plan x',
    ],
    ['a confirmation without a digest', 'POST', '/v1/plans/x/confirm', {}, 400, 'digest'],
    ['an object that does not exist', 'GET', '/v1/zones/x', undefined, 404, 'no zone x'],
    ['a path that does not exist', 'GET', '/v1/paintings', undefined, 404, 'no /v1/paintings'],
    ['a method that is not supported', 'POST', '/v1/zones', {}, 404, 'no /v1/zones'],
  ] as const)('is one line for %s', async (_name, method, path, body, statusCode, text) => {
    const answer = await call(method, path, body);
    expect(answer.statusCode).toBe(statusCode);
    expect(answer.body.message).toContain(text);
    expect(answer.body.workOutcome).toBe('not-run');
    expect(String(answer.body.message).split('\n')).toHaveLength(1);
  });
});
