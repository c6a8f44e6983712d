/* eslint n/no-sync: "off", no-void: "off", no-console: "off", no-await-in-loop: "off", no-restricted-syntax: "off", no-continue: "off", n/no-process-exit: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off", no-underscore-dangle: "off", no-param-reassign: "off", no-plusplus: "off", max-classes-per-file: "off", no-promise-executor-return: "off" */
/**
 * Another writer's entry among the workers' entries. The entry names a service that isn't
 * in the configuration, and its Address is no address. See claim.txt.
 */
import { Deployment, newId, pause, SERVICE } from '../harness/deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const PREFIX = '/plan/';
const ROUTES = [{ Name: 'weekly-plan', Prefix: PREFIX, Priority: 0, Attempts: 4 }];
const CPU = 2_000;
const ENTRY_AT_MS = 6_000;
const TRAFFIC_MS = 24_000;
const FINISH_MS = 14_000;
/** Rule LOST: a task whose turn has come waits for 3 s, with capacity for it twice over. */
const WAIT_MS = 3_000;
/** Rule Fault: processes end by themselves three times in the day, on two machines at least. */
const OWN_ENDS = 3;
const MACHINES = 2;

const deployment = new Deployment();
const accepted = [];
let code = 2;
try {
  await deployment.start({ routes: ROUTES });
  const startedAt = deployment.now();
  const submit = async () => {
    const id = newId();
    deployment.tasks.set(id, () => ({ workMs: 600, end: 'done', cpu: CPU }));
    const step = { Count: 4, Cpu: CPU, MemMb: 1_000, EstimateMs: 600 };
    const Steps = [step, { ...step, After: [0] }];
    if (await deployment.submit(PREFIX, id, { Spec: `plan ${id}`, Steps })) accepted.push(id);
  };
  const traffic = (async () => {
    const sent = [];
    while (deployment.now() - startedAt < TRAFFIC_MS) {
      sent.push(submit());
      await pause(500);
    }
    await Promise.all(sent);
  })();
  await pause(ENTRY_AT_MS);
  if (TROUBLE) {
    deployment.store.put('servers', 'night-batch-01', {
      Service: 'night-batch',
      Address: '127.0.0.1:70000',
      Zone: 'zone-a',
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      Capacity: { Cpu: 32_000, MemMb: 128_000 },
      Labels: ['a', 'r-9'],
      Seq: 1,
      born: Date.now(),
    });
    deployment.note('entry-of-another-writer', { service: 'night-batch', ours: SERVICE });
  }
  await traffic;
  const endedAt = deployment.now();
  await pause(FINISH_MS);
  const states = new Map();
  for (const id of accepted) {
    let answer = { state: undefined };
    for (let attempt = 0; attempt < 5 && answer.state === undefined; attempt += 1) {
      answer = await deployment.call('GET', `${PREFIX}${id}`);
      if (answer.state === undefined) await pause(400);
    }
    states.set(id, answer.state);
  }
  const open = accepted.filter((id) => states.get(id) !== 'complete');
  // For the last 3 s of finish_s no worker ran anything, so that there is room for every task.
  const isIdle = deployment.isIdleSince(endedAt + FINISH_MS - WAIT_MS);
  const isLost = open.length > 0 && isIdle;
  const ends = deployment.instances.map(({ name, ownEnds }) => `${name} ${ownEnds}`);
  const faulty = deployment.instances.filter(({ ownEnds }) => ownEnds >= OWN_ENDS);
  const isFault = faulty.length >= MACHINES;
  deployment.say(
    `accepted ${accepted.length}, not complete ${open.length} after ${FINISH_MS} ms without traffic`,
  );
  deployment.say(`processes that ended by themselves: ${ends.join(', ')}`);
  deployment.say(`LOST ${isLost ? 'broken' : 'held'}, Fault ${isFault ? 'broken' : 'held'}`);
  if (accepted.length > 0) code = isLost || isFault ? 1 : 0;
} catch (error) {
  deployment.say(`could not run: ${error.stack}`);
} finally {
  await deployment.close(new URL('record.txt', import.meta.url).pathname);
}
process.exit(code);
