/* eslint n/no-sync: "off", import-x/extensions: "off" */
/**
 * A queue's route is removed while a submission of it runs whose task can never be done. The rule
 * BUDGET says how often such a task may start.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { bodyOf, newId, route, runCase, sleep } from '../harness-2/world.mjs';

const ATTEMPTS = 4;
const KEPT = route({ Name: 'diet-watch', Prefix: '/kept/' });
const REMOVED = route({ Attempts: ATTEMPTS });
const SETTLE_MS = 4_000;
const WATCH_MS = 25_000;

const play = async (world, isTroubled) => {
  await world.start({
    daemonCount: 4,
    workerCount: 8,
    capacity: { Cpu: 32_000, MemMb: 128_000 },
    routes: [REMOVED, KEPT],
  });
  await sleep(SETTLE_MS);
  const id = newId();
  const body = bodyOf({ workMs: 1_000, end: 'failed' });
  const { status } = await world.submit(id, body);
  if (status !== 200) throw new Error(`the submission was answered ${status}`);
  await sleep(1_500);
  if (isTroubled) world.configure([KEPT]);
  await sleep(WATCH_MS);
  if (!isTroubled) await world.state(id);
  const ofTask = world.events.filter(({ task }) => task === `${id}.0.0.0`);
  const acknowledged = new Set(
    ofTask
      .filter(({ event, how }) => event === 'acknowledged' && how === 'failed')
      .map(({ run }) => run),
  );
  let failedCount = 0;
  let startsBeyond = 0;
  ofTask.forEach(({ event, how, run }) => {
    if (event === 'end' && how === 'failed' && acknowledged.has(run)) failedCount += 1;
    if (event === 'start' && failedCount >= ATTEMPTS) startsBeyond += 1;
  });
  world.note('counted', { attempts: ATTEMPTS, failedCount, startsBeyond });
  if (failedCount === 0) throw new Error('no end was taken note of');
  if (startsBeyond === 0) return undefined;
  return (
    `BUDGET: ${startsBeyond} starts of a task after ${ATTEMPTS} of its runs had ended failed; ` +
    `${failedCount} such ends were taken note of`
  );
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
