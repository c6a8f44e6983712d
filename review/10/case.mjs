/* eslint n/no-sync: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-param-reassign: "off" */
/** One large submission stops the scheduling of all others. */
import { join } from 'node:path';

import { HAS_TROUBLE, newId, pause, play } from '../harness-3/fleet.mjs';
import { lostSubmissions, ordinaryTraffic } from '../harness-3/judge.mjs';

const FINISH_MS = 14_000;
/** All of its tasks together take 39 % of the processors of the workers. */
const LARGE_CPU = 30;
const LARGE_WORK_MS = 100_000;

const largeSubmission = () => ({
  Spec: JSON.stringify({ workMs: LARGE_WORK_MS, cpu: LARGE_CPU }),
  Steps: [{ Count: 10_000, Cpu: LARGE_CPU, MemMb: 100, EstimateMs: LARGE_WORK_MS }],
});

play(join(import.meta.dirname, 'record.txt'), async (fleet) => {
  const refusals = new Map();
  fleet.store.onTransaction = (statusCode, { Reason }) => {
    if (statusCode === 400) refusals.set(Reason, (refusals.get(Reason) ?? 0) + 1);
  };
  await fleet.start({
    ...{ daemonCount: 3, workerCount: 12, cpu: 64_000, memMb: 256_000 },
    queues: [
      { name: 'weekly-plan', prefix: '/plan/', priority: 2 },
      { name: 'route-update', prefix: '/route/', priority: 0 },
    ],
  });
  await pause(4_000);
  const traffic = ordinaryTraffic(fleet, { prefix: '/route/', untilMs: 45_000, newId });
  await pause(3_000);
  if (HAS_TROUBLE) await fleet.submit('/plan/', newId(), largeSubmission());
  const accepted = await traffic;
  await pause(FINISH_MS);
  const lost = await lostSubmissions(fleet, accepted);
  refusals.forEach((count, reason) => fleet.record('transactions-refused', { reason, count }));
  const refusedCount = [...refusals.values()].reduce((sum, count) => sum + count, 0);
  fleet.finish(
    lost.size > 0 ? 1 : 0,
    `LOST ${lost.size > 0 ? 'broken' : 'held'}: ${lost.size} of ${accepted.length} accepted` +
      ` submissions lost; transactions that the store refused as too large: ${refusedCount}`,
  );
});
