/**
 * Measures the cost of scheduling at the design size: 860 workers, 17,500 tasks and 150 starts a
 * second over 7 cells. The benchmark runs one of the cells. Figures in virtual time are the same
 * on every machine and have bounds; figures in real time are only printed.
 */
import type { CellTiming } from '../../src/scheduler/common/cellState.js';
import {
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
  SpreadAndPackPolicy,
} from '../../src/scheduler/common/placement.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { DEFAULT_CELL_TIMING } from './cellDriver.js';
import { CellRun, type CellRunFigures } from './cellRun.js';

const CELL_COUNT = 7;
const NS_PER_US = 1_000;

/** Wraps a placement policy and records the duration of each choice. */
class TimedPolicy implements PlacementPolicy {
  readonly durationsUs: number[] = [];

  readonly #policy = new SpreadAndPackPolicy();

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const beforeNs = process.hrtime.bigint();
    const chosen = this.#policy.choose(request, candidates);
    this.durationsUs.push(Number(process.hrtime.bigint() - beforeNs) / NS_PER_US);
    return chosen;
  }
}

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

/** Changes are written in one transaction each, or combined over the default round interval. */
const WRITE_MODES: readonly { readonly name: string; readonly timing: Partial<CellTiming> }[] = [
  {
    name: 'a transaction for each change',
    timing: { roundIntervalMs: 0, rowsPerSecond: 1e6, maximumRowsPerRound: 1 },
  },
  { name: 'combined, as by default', timing: {} },
];

const WORKER_COUNT = 123;
/** So few workers that batch work queues and urgent work needs evictions. */
const FULL_WORKER_COUNT = 60;
const FILL_MS = 18_000;
const WARM_UP_MS = 60_000;
const MEASURED_MS = 14_000;

const measure = (
  timing: Partial<CellTiming>,
  workerCount: number,
): { readonly figures: CellRunFigures; readonly durationsUs: readonly number[] } => {
  const policy = new TimedPolicy();
  const run = new CellRun({
    seed: 5,
    workerCount,
    serviceTaskCount: 500,
    startsPerSecond: 150 / CELL_COUNT,
    batchWorkMs: 40_000,
    urgentEvery: 10,
    fillMs: FILL_MS,
    timing: { ...DEFAULT_CELL_TIMING, ...timing },
    policy,
  });
  const figures = run.run(WARM_UP_MS, MEASURED_MS);
  return { figures, durationsUs: policy.durationsUs };
};

const formatFigures = (
  name: string,
  figures: CellRunFigures,
  durationsUs: readonly number[],
): string =>
  [
    name.padEnd(32),
    `tx/s ${figures.transactionsPerSecond.toFixed(1)}`,
    `rows/s ${figures.rowsPerSecond.toFixed(1)}`,
    `rows read/s ${figures.readRowsPerSecond.toFixed(0)}`,
    `starts/s ${figures.startsPerSecond.toFixed(1)}`,
    `running ${figures.runningCount}`,
    `urgent p99 ${percentile(figures.urgentDelaysMs, 0.99)} ms`,
    `other p99 ${percentile(figures.delaysMs, 0.99)} ms`,
    `choice p50 ${percentile(durationsUs, 0.5).toFixed(1)} us`,
    `decide ${(figures.decideShareOfCore * 100).toFixed(2)} % of a core`,
    `messages ${(figures.messageBytesPerSecond / 1024).toFixed(0)} KB/s`,
  ].join(' | ');

const run = async (): Promise<boolean> => {
  const bounds = await readBounds('scheduling');
  const results = WRITE_MODES.map(({ name, timing }) => {
    const { figures, durationsUs } = measure(timing, WORKER_COUNT);
    process.stdout.write(`${formatFigures(name, figures, durationsUs)}\n`);
    return figures;
  });
  const full = measure({}, FULL_WORKER_COUNT);
  process.stdout.write(
    `${formatFigures('by default, in a full cell', full.figures, full.durationsUs)}\n`,
  );
  process.stdout.write(`rss ${Math.round(process.memoryUsage().rss / 1024 ** 2)} MB\n`);
  const single = results[0] as CellRunFigures;
  const combined = results[results.length - 1] as CellRunFigures;
  const rowRatio = combined.rowsPerSecond / single.rowsPerSecond;
  const transactionRatio = combined.transactionsPerSecond / single.transactionsPerSecond;
  const urgentP99Ms = Math.max(
    percentile(combined.urgentDelaysMs, 0.99),
    percentile(full.figures.urgentDelaysMs, 0.99),
  );
  process.stdout.write(
    `combined beside single: rows ${rowRatio.toFixed(2)}, transactions ${transactionRatio.toFixed(2)}\n`,
  );
  return (
    combined.rowsPerSecond <= (bounds.maximumRowsPerSecond ?? 0) &&
    rowRatio <= (bounds.maximumRowRatio ?? 0) &&
    transactionRatio <= (bounds.maximumTransactionRatio ?? 0) &&
    full.figures.urgentDelaysMs.length > 0 &&
    urgentP99Ms <= (bounds.maximumUrgentP99Ms ?? 0)
  );
};

export const scheduling: Benchmark = { name: 'scheduling', run };
