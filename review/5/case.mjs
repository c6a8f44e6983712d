/* eslint n/no-sync: "off", import-x/extensions: "off" */
/**
 * Workers crash and start again under their ids while the store is slow. The rule TWICE says that a
 * task whose end has been taken note of doesn't start again.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { bodyOf, newId, route, runCase, sleep } from '../harness-2/world.mjs';
import { ANSWER_MS } from '../harness-2/store.mjs';

const SETTLE_MS = 4_000;
const WORKER_COUNT = 24;
/** A share of 0.125; the site file has 0.14. */
const CRASH_COUNT = 3;
/** How long a worker's process is away. */
const AWAY_MS = 60;
const WORK_MS = 60;
/** The dose of the site file: answers take 60 times as long, for 4.5 s. */
const SLOW_FACTOR = 60;
const SLOW_MS = 4_500;
const CALM_MS = 3_000;
const WINDOW_COUNT = 8;
const CRASH_INTERVAL_MS = 500;
const CLIENT_COUNT = 8;
const CLIENT_PAUSE_MS = 300;
const TASK_COUNT = 12;
const SHOWN_COUNT = 8;

/** Notes the ends of runs and returns what the starts after them break. */
class Judge {
  #ends = new Map();

  broken = [];

  crashCount = 0;

  note(event, fields) {
    const { task, run, how, worker } = fields;
    const ends = this.#ends.get(task) ?? [];
    if (event === 'end' && how === 'done') {
      this.#ends.set(task, [...ends, { run, worker, isAcknowledged: false }]);
    }
    if (event === 'acknowledged' && how === 'done') {
      ends
        .filter((end) => end.run === run && end.worker === worker)
        .forEach((end) => Object.assign(end, { isAcknowledged: true }));
    }
    if (event !== 'start') return undefined;
    const done = ends.find(({ isAcknowledged }) => isAcknowledged);
    if (done === undefined) return undefined;
    const found = { ...fields, doneRun: done.run, doneOn: done.worker };
    this.broken.push(found);
    return found;
  }
}

const play = async (world, isTroubled) => {
  const judge = new Judge();
  await world.start({
    daemonCount: 4,
    workerCount: WORKER_COUNT,
    capacity: { Cpu: 32_000, MemMb: 128_000 },
    routes: [route()],
    note: (event, fields) => {
      // The record has the history of some tasks that were started again.
      world.note(event, fields, true);
      const found = judge.note(event, fields);
      if (found !== undefined) world.note('started-again', found);
    },
  });
  await sleep(SETTLE_MS);
  let hasEnded = false;
  const body = bodyOf({ workMs: WORK_MS, Count: TASK_COUNT, Cpu: 500, MemMb: 50, MaxPerServer: 1 });
  const client = async () => {
    if (hasEnded) return;
    await world.submit(newId(), body);
    await sleep(CLIENT_PAUSE_MS);
    await client();
  };
  const clients = Promise.all(Array.from({ length: CLIENT_COUNT }, client));
  const crash = async (worker) => {
    judge.crashCount += 1;
    world.note('worker-crash', { worker: worker.id });
    worker.advance();
    worker.crash();
    await sleep(AWAY_MS);
    await worker.restart();
  };
  const crashSome = async (untilMs) => {
    await sleep(CRASH_INTERVAL_MS);
    if (world.nowMs >= untilMs) return;
    const chosen = [...world.workers].sort(() => Math.random() - 0.5).slice(0, CRASH_COUNT);
    if (isTroubled) await Promise.all(chosen.map(crash));
    await crashSome(untilMs);
  };
  const playWindow = async (number) => {
    if (number === WINDOW_COUNT) return;
    if (isTroubled) Object.assign(world.store, { answerMs: SLOW_FACTOR * ANSWER_MS });
    world.note('store', { answerMs: world.store.answerMs });
    await crashSome(world.nowMs + SLOW_MS);
    Object.assign(world.store, { answerMs: ANSWER_MS });
    await sleep(CALM_MS);
    await playWindow(number + 1);
  };
  await playWindow(0);
  hasEnded = true;
  await clients;
  const { broken, crashCount } = judge;
  const startCount = world.events.filter(({ event }) => event === 'start').length;
  const shown = new Set(broken.slice(0, SHOWN_COUNT).map(({ task }) => task));
  world.events
    .filter(({ event, task }) => shown.has(task) && event !== 'started-again')
    .forEach(({ atMs, event, ...fields }) =>
      world.note('history', { atMs, what: event, ...fields }),
    );
  world.note('counted', { startCount, crashCount, startedAgain: broken.length });
  if (startCount === 0) throw new Error('nothing was started');
  if (broken.length === 0) return undefined;
  return (
    `TWICE: ${broken.length} of ${startCount} starts were of tasks of which a run had ended done and ` +
    `that end had been taken note of, beside ${crashCount} crashes of workers`
  );
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
