/** Measures the cost of a request in a daemon, with requests at three steady rates. */
import { setTimeout as delay } from 'node:timers/promises';

import { Pool } from 'undici';

import { ChildProcesses } from '../../standIns/demo/childProcesses.js';
import { processorMs, residentMegabytes } from '../passThrough/processUsage.js';
import { SERVICE_NAME, startSystem, WORKER_COUNT } from '../passThrough/system.js';
import { runSequentially, roundFigure } from './slopes.js';

const RATES = [100, 300, 600] as const;
const WARM_UP_RATE = 600;
const MEASURED_MS = 4_000;
const SETTLING_MS = 3_000;
const BATCH_INTERVAL_MS = 20;
const MS_PER_SECOND = 1_000;
const CONNECTION_COUNT = 32;

export interface EntryFigures {
  readonly requestsPerSecond: number;
  readonly coreRatio: number;
  readonly residentMegabytes: number;
  readonly failureCount: number;
}

const sendAtRate = async (
  origin: string,
  rate: number,
): Promise<{ sent: number; failed: number }> => {
  const pool = new Pool(origin, { connections: CONNECTION_COUNT });
  const requestsPerBatch = (rate * BATCH_INTERVAL_MS) / MS_PER_SECOND;
  const counts = { sent: 0, failed: 0 };
  const send = async (): Promise<void> => {
    counts.sent += 1;
    const path = `/services/${SERVICE_NAME}/echo`;
    const answer = await pool.request({ method: 'GET', path });
    await answer.body.dump();
    if (answer.statusCode !== 200) counts.failed += 1;
  };
  const batches = Array.from({ length: MEASURED_MS / BATCH_INTERVAL_MS }, (_, index) => index);
  await Promise.all(
    batches.map(async (index) => {
      await delay(index * BATCH_INTERVAL_MS);
      await Promise.all(Array.from({ length: requestsPerBatch }, send));
    }),
  );
  await pool.close();
  return counts;
};

/** Measures one daemon that has all roles, with a service on each of six workers. */
export const measureEntry = async (
  onRow: (row: EntryFigures) => void,
): Promise<readonly EntryFigures[]> => {
  const children = new ChildProcesses();
  try {
    const backend = await children.start(
      'bench/passThrough/backendProcess.js',
      [String(WORKER_COUNT)],
      (line) => line.ports as readonly number[],
    );
    const daemon = await startSystem(children, backend.ready);
    // Warms up the daemon, because the slope must not include the compilation of new code.
    await sendAtRate(daemon.callerOrigin, WARM_UP_RATE);
    await delay(SETTLING_MS);
    return await runSequentially([0, ...RATES], async (rate) => {
      const beforeMs = await processorMs(daemon.pid);
      const { sent, failed } = await sendAtRate(daemon.callerOrigin, rate);
      const row = {
        requestsPerSecond: roundFigure((sent * MS_PER_SECOND) / MEASURED_MS),
        coreRatio: roundFigure(((await processorMs(daemon.pid)) - beforeMs) / MEASURED_MS),
        residentMegabytes: roundFigure(await residentMegabytes(daemon.pid)),
        failureCount: failed,
      };
      onRow(row);
      return row;
    });
  } finally {
    children.dispose();
  }
};
