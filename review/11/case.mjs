/* eslint n/no-sync: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-await-in-loop: "off" */
/** Starts that wait for a connection to a worker are sent seconds after their submission's cancelling. */
import { join } from 'node:path';

import { HAS_TROUBLE, newId, pause, play } from '../harness-3/fleet.mjs';

const CANCEL_MS = 3_000;
/** jhma-rounds.toml, `applied_late`: x = 0.055, for_s = 5.5; `give_up`: x = 900. */
const LATE_SHARE = 0.055;
const LATE_FOR_MS = 5_500;
const CANCEL_AFTER_MS = 900;
const SUBMISSION_COUNT = 3;

const cpu = 100;
const submission = () => ({
  Spec: JSON.stringify({ workMs: 8_000, cpu }),
  Steps: [{ Count: 900, Cpu: cpu, MemMb: 100, EstimateMs: 8_000 }],
});

play(join(import.meta.dirname, 'record.txt'), async (fleet) => {
  await fleet.start({
    ...{ daemonCount: 3, workerCount: 3, cpu: 32_000, memMb: 128_000 },
    queues: [{ name: 'weekly-plan', prefix: '/plan/', priority: 2 }],
  });
  await pause(4_000);
  const setLate = (share) => {
    fleet.record('applied_late', { share });
    fleet.workers.forEach((worker) => Object.assign(worker, { lateShare: share }));
  };
  if (HAS_TROUBLE) setLate(LATE_SHARE);
  setTimeout(() => setLate(0), LATE_FOR_MS);
  const cancelled = [];
  for (let index = 0; index < SUBMISSION_COUNT; index += 1) {
    const id = newId();
    if ((await fleet.submit('/plan/', id, submission())) !== 200) throw new Error('not accepted');
    await pause(CANCEL_AFTER_MS);
    const daemon = fleet.pick();
    const { status } = await daemon.call('DELETE', `/plan/${id}`);
    fleet.record('cancelled', { id, by: daemon.id, status });
    if (status !== 200) throw new Error(`the cancelling was answered ${status}`);
    cancelled.push({ id, ackedAtMs: fleet.nowMs });
  }
  await pause(16_000);
  // Orders that a worker carried out late don't count, as the rules say.
  const unasked = cancelled.flatMap(({ id, ackedAtMs }) =>
    fleet.starts
      .filter(({ task, isLate }) => !isLate && task.startsWith(`${id}.`))
      .map((start) => ({ ...start, afterMs: Math.round(start.atMs - ackedAtMs) }))
      .filter(({ afterMs }) => afterMs > CANCEL_MS),
  );
  unasked.forEach((start) => fleet.record('UNASKED', start));
  const latest = Math.max(0, ...unasked.map(({ afterMs }) => afterMs));
  fleet.finish(
    unasked.length > 0 ? 1 : 0,
    `UNASKED ${unasked.length > 0 ? 'broken' : 'held'}: ${unasked.length} tasks started later than` +
      ` ${CANCEL_MS} ms after their submission's cancelling, the latest ${latest} ms after it`,
  );
});
