/* eslint n/no-sync: "off", import-x/extensions: "off" */
/**
 * A submission that runs once a second is at work, and small submissions come beside it. The rule
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

const SETTLE_MS = 4_000;
/** The longest and widest submission of the deployment jhma-rounds: 5 steps of 36 tasks. */
const STEP_COUNT = 5;
const WIDTH = 36;
const INTERVAL_MS = 1_000;
const TIMES = 75;
const TIMES_WITHOUT_TROUBLE = 8;
const SMALL_COUNT = 5;

const recurringBody = (times) => {
  const { Spec, Steps } = bodyOf({ workMs: 900, Count: WIDTH, Cpu: 1_000, MemMb: 100 });
  return {
    Spec,
    Steps: Array.from({ length: STEP_COUNT }, () => Steps[0]),
    Times: times,
    StartMs: Date.now(),
    IntervalMs: INTERVAL_MS,
  };
};

const play = async (world, isTroubled) => {
  const recurringId = newId();
  const small = bodyOf({ workMs: 800, Count: 2 });
  await world.start({
    daemonCount: 4,
    workerCount: 16,
    capacity: { Cpu: 32_000, MemMb: 128_000 },
    routes: [route()],
    // The record has the starts and ends of the small submissions.
    note: (event, fields) => world.note(event, fields, fields.task.startsWith(recurringId)),
  });
  await sleep(SETTLE_MS);
  const times = isTroubled ? TIMES : TIMES_WITHOUT_TROUBLE;
  const recurring = await world.submit(recurringId, recurringBody(times));
  if (recurring.status !== 200) throw new Error(`the submission was answered ${recurring.status}`);
  await world.submit(newId(), small);
  await sleep(TIMES * INTERVAL_MS + 1_000);
  const ids = Array.from({ length: SMALL_COUNT }, newId);
  const answers = await Promise.all(ids.map((id) => world.submit(id, small)));
  const accepted = ids.filter((_, index) => answers[index].status === 200);
  world.note('traffic-ended', { accepted: accepted.length });
  if (accepted.length === 0) throw new Error('no submission was accepted');
  await sleep(FINISH_MS);
  const states = await Promise.all(accepted.map((id) => world.stateOf(id)));
  const open = accepted.filter((_, index) => states[index] !== 'complete');
  const { idleMs, peakShare } = await world.watch(open, WATCH_MS);
  const idleCount = idleMs.filter((ms) => ms >= LONGEST_IDLE_MS).length;
  const { refused } = world.store;
  const startCount = world.events.filter(
    ({ event, task }) => event === 'start' && task.startsWith(recurringId),
  ).length;
  world.note('store-refusals', { count: refused.length, first: refused[0], last: refused.at(-1) });
  world.note('counted', { states, idleMs, peakShare, startCount });
  if (idleCount === 0 || peakShare >= 0.5) return undefined;
  return (
    `LOST: ${idleCount} of ${accepted.length} accepted submissions had nothing running for ` +
    `${LONGEST_IDLE_MS / 1_000} s, ${FINISH_MS / 1_000} s after the end of the traffic, with ` +
    `${Math.round(100 * peakShare)} % of the room in use; ${startCount} tasks of the submission ` +
    `that recurs had been started; the store refused ${refused.length} calls over its limits`
  );
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
