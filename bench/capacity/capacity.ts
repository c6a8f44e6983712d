/** `npm run bench -- capacity`: the slopes that docs/CAPACITY.md is worked out from. */
import { mkdir, writeFile } from 'node:fs/promises';

import { measureDaemons } from './daemonCapacity.js';
import { measureOperator } from './operatorCapacity.js';
import { measureScheduler } from './schedulerCapacity.js';
import { fieldLine, inTurn } from './slopes.js';

const RESULTS_FOLDER = 'bench/results';
const CELL_SIZES = [30, 60, 123] as const;
const START_RATES = [0, 10, 22] as const;
const DOCUMENT_COUNTS = [100, 400, 1_000] as const;
const CELL_SIZE = 123;

const say = (label: string, value: unknown): void => {
  process.stdout.write(`${label} ${JSON.stringify(value)}\n`);
};

const keep = async (name: string, value: unknown): Promise<void> => {
  await mkdir(RESULTS_FOLDER, { recursive: true });
  const text = JSON.stringify(value, undefined, 2);
  await writeFile(`${RESULTS_FOLDER}/capacity-${name}.json`, `${text}\n`);
};

const runScheduler = async (): Promise<void> => {
  const bySize = CELL_SIZES.map((size) => measureScheduler(size, 0));
  const byRate = START_RATES.map((rate) => measureScheduler(CELL_SIZE, rate));
  [...bySize, ...byRate].forEach((row) => say('scheduler', row));
  const lines = {
    decideCoreRatioByWorkers: fieldLine(
      bySize,
      (row) => row.workerCount,
      (row) => row.decideCoreRatio,
    ),
    workerBytesByWorkers: fieldLine(
      bySize,
      (row) => row.workerCount,
      (row) => row.workerBytesPerSecond,
    ),
    decideCoreRatioByStarts: fieldLine(
      byRate,
      (row) => row.startsPerSecond,
      (row) => row.decideCoreRatio,
    ),
    writtenRowsByStarts: fieldLine(
      byRate,
      (row) => row.startsPerSecond,
      (row) => row.writtenRowsPerSecond,
    ),
  };
  say('scheduler slopes', lines);
  await keep('scheduler', { bySize, byRate, lines });
};

const runOperator = async (): Promise<void> => {
  const rows = await inTurn(DOCUMENT_COUNTS, measureOperator);
  rows.forEach((row) => say('operator', row));
  const line = fieldLine(
    rows,
    (row) => row.documentCount,
    (row) => row.processorMsPerPlan,
  );
  say('operator slopes', line);
  await keep('operator', { rows, processorMsPerPlanByDocuments: line });
};

export const runCapacity = async (): Promise<boolean> => {
  await runScheduler();
  await runOperator();
  const daemons = await measureDaemons((row) => say('daemon', row));
  say('daemon slopes', daemons.lines);
  await keep('daemon', daemons);
  return true;
};
