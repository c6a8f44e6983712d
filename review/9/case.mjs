/* eslint n/no-sync: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off" */
/**
 * After two hours of service at the rate of our pages, no daemon can take over: the rows of ended
 * submissions are never removed, and a new owner loads all of them.
 */
import { join } from 'node:path';

import { HAS_TROUBLE, newId, pause, play } from '../harness-3/fleet.mjs';
import { faultyMachines, lostSubmissions, ordinaryTraffic } from '../harness-3/judge.mjs';

const FINISH_MS = 14_000;
/** SYSTEM.md, jhma-rounds: 3.89 + 2.99 + 0.144 submissions a second. */
const SUBMISSIONS_PER_S = 7.02;
/** How long the service has run when all processes are killed; 60 leaves the kill without the past. */
const PAST_S = Number(process.env.PAST_S ?? 7_200);
const KILL_AT_MS = 14_000;
const TABLES = ['submissions', 'progress', 'assignments', 'checkpoints'];

/** Two steps of eight tasks, with a text of 300 bytes, like an ordinary weekly plan. */
const weeklyPlan = () => {
  const cpu = 3_500;
  const step = { Count: 8, Cpu: cpu, MemMb: 6_400, EstimateMs: 1_000 };
  const Spec = JSON.stringify({ workMs: 1_000, cpu, note: 'x'.repeat(260) });
  return { Spec, Steps: [step, { ...step, After: [0] }] };
};

/**
 * Leaves the rows in the store that the past left there: for each submission of the past, those that
 * the system itself wrote for the one that it has completed, under another id.
 */
const leavePast = ({ store, record }, completedId) => {
  const decode = (value) => Buffer.from(value, 'base64').toString('utf8');
  const models = TABLES.flatMap((table) => store.rows(table))
    .filter(({ Key }) => Key.includes(completedId))
    .map(({ Table, Key, Value }) => ({ Table, Key, text: decode(Value) }));
  const count = Math.round(SUBMISSIONS_PER_S * PAST_S);
  for (let index = 0; index < count; index += 1) {
    const id = newId();
    models.forEach(({ Table, Key, text }) => {
      const value = Buffer.from(text.replaceAll(completedId, id)).toString('base64');
      store.putValue(Table, Key.replaceAll(completedId, id), value);
    });
  }
  record('past', { submissions: count, rows: models.map(({ Table, Key }) => `${Table}/${Key}`) });
};

play(join(import.meta.dirname, 'record.txt'), async (fleet) => {
  await fleet.start({
    ...{ daemonCount: 3, workerCount: 6, cpu: 32_000, memMb: 128_000 },
    queues: [
      { name: 'weekly-plan', prefix: '/plan/', priority: 2 },
      { name: 'route-update', prefix: '/route/', priority: 0 },
    ],
  });
  await pause(4_000);
  const traffic = ordinaryTraffic(fleet, { prefix: '/route/', untilMs: 45_000, newId });
  const id = newId();
  await fleet.submit('/plan/', id, weeklyPlan());
  const state = await fleet.awaitState('/plan/', id, ['complete'], KILL_AT_MS);
  if (state !== 'complete') throw new Error(`the model submission is ${state}`);
  // The rows of a complete submission are not removed later either: nothing in the system does it.
  await pause(KILL_AT_MS - fleet.nowMs);
  if (HAS_TROUBLE) {
    fleet.daemons.forEach((daemon) => daemon.kill());
    leavePast(fleet, id);
  }
  const accepted = await traffic;
  await pause(FINISH_MS);
  const lost = await lostSubmissions(fleet, accepted);
  const faulty = faultyMachines(fleet);
  const ends = fleet.daemons.map(({ id: name, ownEnds }) => `${name} ${ownEnds}`).join(', ');
  const isBroken = lost.size > 0 || faulty.length >= 2;
  fleet.finish(
    isBroken ? 1 : 0,
    `LOST ${isBroken ? 'broken' : 'held'}: ${lost.size} of ${accepted.length} accepted submissions` +
      ` lost; processes that ended by themselves: ${ends}`,
  );
});
