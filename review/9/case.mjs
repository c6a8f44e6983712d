/* eslint n/no-sync: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-await-in-loop: "off" */
/** Owners that lose power leave their channels at the workers, until the next owner gets none. */
import { join } from 'node:path';

import { HAS_TROUBLE, newId, pause, play } from '../harness-3/fleet.mjs';
import { lostSubmissions } from '../harness-3/judge.mjs';

const FINISH_MS = 14_000;
/** jhma-rounds.toml, `node_kill`, `how = "power"`: count = 1, for_s = 3.5. */
const DARK_MS = 3_500;
const POWER_LOSSES = 12;
/** How long an owner schedules before its machine loses power. */
const OWNS_MS = 2_500;
/** While this lasts, the worker sees no end of the channels that end. */
const ENDS_MS = 300;

const cpu = 1_000;
const submission = () => ({
  Spec: JSON.stringify({ workMs: 800, cpu }),
  Steps: [{ Count: 36, Cpu: cpu, MemMb: 1_000, EstimateMs: 800 }],
});

play(join(import.meta.dirname, 'record.txt'), async (fleet) => {
  await fleet.start({
    ...{ daemonCount: 3, workerCount: 3, cpu: 32_000, memMb: 128_000 },
    queues: [{ name: 'route-update', prefix: '/route/', priority: 0 }],
  });
  await pause(4_000);
  const accepted = [];
  let isTraffic = true;
  const traffic = (async () => {
    while (isTraffic) {
      const id = newId();
      if ((await fleet.submit('/route/', id, submission())) === 200) {
        accepted.push({ prefix: '/route/', id, cpu });
      }
      await pause(500);
    }
  })();
  for (let count = 0; count < POWER_LOSSES; count += 1) {
    const owner = await fleet.nextOwner();
    await pause(OWNS_MS);
    const channels = fleet.workers.map(({ channelCount }) => channelCount);
    fleet.record('power-loss', { machine: owner.id, isPlayed: HAS_TROUBLE, channels });
    if (HAS_TROUBLE) {
      fleet.workers.forEach((worker) => Object.assign(worker, { isCallerDark: true }));
      owner.kill(DARK_MS);
      await pause(ENDS_MS);
      fleet.workers.forEach((worker) => Object.assign(worker, { isCallerDark: false }));
    }
  }
  await pause(DARK_MS);
  isTraffic = false;
  await traffic;
  await pause(FINISH_MS);
  const lost = await lostSubmissions(fleet, accepted);
  const refused = fleet.workers.map(({ refusedChannels }) => refusedChannels);
  fleet.record('channels', { refused, open: fleet.workers.map((worker) => worker.channelCount) });
  fleet.finish(
    lost.size > 0 ? 1 : 0,
    `LOST ${lost.size > 0 ? 'broken' : 'held'}: ${lost.size} of ${accepted.length} accepted` +
      ` submissions lost; channels that the workers refused: ${refused.join(', ')}`,
  );
});
