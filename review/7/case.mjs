/* eslint n/no-sync: "off", import-x/extensions: "off" */
/**
 * The workers of one kind fail all that they start for some seconds and are sound again. The rule
 * LOST says that an accepted submission isn't left with nothing running while there is room for it.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  bodyOf,
  FINISH_MS,
  LONGEST_IDLE_MS,
  newId,
  route,
  runCase,
  sleep,
  WATCH_MS,
} from '../harness-2/world.mjs';

const WORKER_COUNT = 24;
/** Two of 24 workers are of the rare kind: a share of 0.083. */
const RARE_COUNT = 2;
const SETTLE_MS = 4_000;
const FAILING_MS = 6_500;
const SUBMISSION_COUNT = 4;

const play = async (world, isTroubled) => {
  await world.start({
    daemonCount: 4,
    workerCount: WORKER_COUNT,
    capacity: { Cpu: 32_000, MemMb: 128_000 },
    routes: [route()],
    kindOf: (index) => (index < RARE_COUNT ? 'b' : 'a'),
  });
  const rare = world.workers.slice(0, RARE_COUNT);
  const setFailing = (isFailing) => {
    rare.forEach((worker) => Object.assign(worker, { isFailing }));
    world.note('rare-workers', { isFailing });
  };
  await sleep(SETTLE_MS);
  if (isTroubled) setFailing(true);
  const ids = Array.from({ length: SUBMISSION_COUNT }, newId);
  const body = bodyOf({ workMs: 800, Requires: 'b' });
  const answers = await Promise.all(ids.map((id) => world.submit(id, body)));
  if (answers.some(({ status }) => status !== 200)) throw new Error('a submission was refused');
  await sleep(FAILING_MS);
  if (isTroubled) setFailing(false);
  world.note('traffic-ended');
  await sleep(FINISH_MS);
  const states = await Promise.all(ids.map((id) => world.stateOf(id)));
  const open = ids.filter((_, index) => ['queued', 'running'].includes(states[index]));
  const { idleMs, peakShare } = await world.watch(open, WATCH_MS);
  const idleCount = idleMs.filter((ms) => ms >= LONGEST_IDLE_MS).length;
  const ends = world.events.filter(({ event }) => event === 'end');
  const failedCount = ends.filter(({ how }) => how === 'failed').length;
  world.note('counted', { states, idleMs, peakShare, failedCount });
  if (idleCount === 0 || peakShare >= 0.5) return undefined;
  return (
    `LOST: ${idleCount} of ${ids.length} accepted submissions had nothing running for ` +
    `${LONGEST_IDLE_MS / 1_000} s, ${FINISH_MS / 1_000} s after the end of the traffic, with ` +
    `${Math.round(100 * peakShare)} % of the room of ${WORKER_COUNT} sound workers in use`
  );
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
