/* eslint n/no-sync: "off", import-x/extensions: "off", no-await-in-loop: "off", no-continue: "off", no-restricted-syntax: "off" */
/** The checks of RULES.md that the cases share, by what clients and workers have seen. */
import { pause } from './fleet.mjs';

const SAMPLE_MS = 100;
/** LOST: "for 3 s, a submission has nothing running while a task's turn has come". */
const NOTHING_RUNNING_MS = 3_000;
/** A machine counts if its process has ended by itself three times. */
const OWN_ENDS = 3;
const FINAL_STATES = ['complete', 'failed', 'cancelled'];

/** Whether the workers have room for two more tasks of the size, and use less than half of theirs. */
export const hasCapacity = ({ workers }, cpu) => {
  const free = workers.map((worker) => worker.cpu - worker.usedCpu);
  const used = workers.reduce((sum, worker) => sum + worker.usedCpu, 0);
  const whole = workers.reduce((sum, worker) => sum + worker.cpu, 0);
  const room = free.reduce((sum, one) => sum + Math.floor(one / cpu), 0);
  return used < whole / 2 && room >= 2;
};

const isRunning = ({ workers }, id) =>
  workers.some(({ runs }) => [...runs.keys()].some((task) => task.startsWith(`${id}.`)));

/**
 * LOST, asked `finish_s` after the end of the traffic. Returns what breaks the rule, by submission:
 * it is not known, gets no answer in five tries at other machines, or has nothing running for 3 s
 * although the workers have room for two of its tasks and use less than half of theirs. The turn of
 * a task of each submission has to have come.
 */
export const lostSubmissions = async (fleet, submissions) => {
  const found = new Map();
  const open = [];
  const ask = async (submission) => {
    const { prefix, id } = submission;
    let state = '';
    for (let attempt = 0; attempt < 5; attempt += 1) {
      state = await fleet.state(prefix, id);
      if (!state.startsWith('no answer')) break;
      await pause(300);
    }
    fleet.record('asked', { id, state });
    if (state.startsWith('no answer')) found.set(id, state);
    else if (!FINAL_STATES.includes(state)) open.push(submission);
  };
  await Promise.all(submissions.map(ask));
  const waiting = new Set(open);
  const untilMs = fleet.nowMs + NOTHING_RUNNING_MS;
  while (fleet.nowMs < untilMs) {
    waiting.forEach((submission) => {
      const { id, cpu } = submission;
      if (isRunning(fleet, id) || !hasCapacity(fleet, cpu)) waiting.delete(submission);
    });
    await pause(SAMPLE_MS);
  }
  const askAgain = async ({ prefix, id }) => {
    const state = await fleet.state(prefix, id);
    if (FINAL_STATES.includes(state)) return;
    found.set(id, `${state}, nothing running for 3 s beside free workers`);
  };
  await Promise.all([...waiting].map(askAgain));
  found.forEach((why, id) => fleet.record('LOST', { id, why }));
  return found;
};

/** Fault: the machines on which processes have ended by themselves three times. */
export const faultyMachines = ({ daemons }) =>
  daemons.filter(({ ownEnds }) => ownEnds >= OWN_ENDS).map(({ id }) => id);

/** Hands in a small submission each second for as long as told, and returns those accepted. */
export const ordinaryTraffic = async (fleet, { prefix, untilMs, newId }) => {
  const accepted = [];
  while (fleet.nowMs < untilMs) {
    const id = newId();
    const cpu = 2_100;
    const Steps = [{ Count: 6, Cpu: cpu, MemMb: 4_200, EstimateMs: 800 }];
    const Spec = JSON.stringify({ workMs: 800, cpu });
    if ((await fleet.submit(prefix, id, { Spec, Steps })) === 200) {
      accepted.push({ prefix, id, cpu });
    }
    await pause(1_000);
  }
  return accepted;
};
