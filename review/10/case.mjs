/* eslint n/no-sync: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off" */
/** A timed submission whose first occurrences are past ends every daemon that gets to schedule. */
import { join } from 'node:path';

import { HAS_TROUBLE, newId, pause, play } from '../harness-3/fleet.mjs';
import { faultyMachines, lostSubmissions, ordinaryTraffic } from '../harness-3/judge.mjs';

const DAY_MS = 86_400_000;
const MINUTE_MS = 60_000;
const FINISH_MS = 14_000;

/** Once a minute, since 90 days: 200,000 times in all. */
const timedSubmission = () => ({
  Spec: JSON.stringify({ workMs: 800, cpu: 2_100 }),
  Steps: [{ Count: 1, Cpu: 2_100, MemMb: 4_200, EstimateMs: 800 }],
  Times: 200_000,
  StartMs: Date.now() - 90 * DAY_MS,
  IntervalMs: MINUTE_MS,
});

play(join(import.meta.dirname, 'record.txt'), async (fleet) => {
  await fleet.start({
    ...{ daemonCount: 3, workerCount: 6, cpu: 32_000, memMb: 128_000 },
    queues: [
      { name: 'weekly-plan', prefix: '/plan/', priority: 2 },
      { name: 'route-update', prefix: '/route/', priority: 0 },
    ],
  });
  await pause(4_000);
  const traffic = ordinaryTraffic(fleet, { prefix: '/route/', untilMs: 30_000, newId });
  await pause(5_000);
  if (HAS_TROUBLE) await fleet.submit('/plan/', newId(), timedSubmission());
  const accepted = await traffic;
  await pause(FINISH_MS);
  const lost = await lostSubmissions(fleet, accepted);
  const faulty = faultyMachines(fleet);
  const ends = fleet.daemons.map(({ id, ownEnds }) => `${id} ${ownEnds}`).join(', ');
  const isBroken = lost.size > 0 || faulty.length >= 2;
  fleet.finish(
    isBroken ? 1 : 0,
    `LOST ${isBroken ? 'broken' : 'held'}: ${lost.size} of ${accepted.length} accepted submissions` +
      ` lost; processes that ended by themselves: ${ends}`,
  );
});
