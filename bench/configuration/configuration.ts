/** Measures how fast a change is in force everywhere, the cost of polling, and planning times. */
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { type InForceFigures, measureInForce, type Scenario } from './inForce.js';
import { measurePlanning } from './planning.js';
import { measurePlanReads } from './planReads.js';

const DAY_MS = 86_400_000;
const CHANGES_PER_DAY = 1_300;
const USUAL_RATE = { changeCount: 100, meanGapMs: DAY_MS / CHANGES_PER_DAY };
const BURST_RATE = { changeCount: 50, meanGapMs: 1_200 };
const SLOW_STORE = { minimumDelayMs: 200, maximumDelayMs: 780 };

const SCENARIOS: readonly Scenario[] = [
  { name: '7 daemons', daemonCount: 7, hasPeers: true, behaviour: {}, ...USUAL_RATE },
  { name: '7, burst', daemonCount: 7, hasPeers: true, behaviour: {}, ...BURST_RATE },
  { name: '7, no peers', daemonCount: 7, hasPeers: false, behaviour: {}, ...USUAL_RATE },
  { name: '7, burst, no peers', daemonCount: 7, hasPeers: false, behaviour: {}, ...BURST_RATE },
  { name: '7, slow store', daemonCount: 7, hasPeers: true, behaviour: SLOW_STORE, ...USUAL_RATE },
  {
    name: '7, slow store, no peers',
    daemonCount: 7,
    hasPeers: false,
    behaviour: SLOW_STORE,
    ...USUAL_RATE,
  },
  {
    name: '70 daemons',
    daemonCount: 70,
    hasPeers: true,
    behaviour: {},
    ...USUAL_RATE,
    changeCount: 20,
  },
  {
    name: '70, no peers',
    daemonCount: 70,
    hasPeers: false,
    behaviour: {},
    ...USUAL_RATE,
    changeCount: 20,
  },
  { name: '70, burst', daemonCount: 70, hasPeers: true, behaviour: {}, ...BURST_RATE },
];

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const formatInForce = (name: string, figures: InForceFigures): string => {
  const { p50Ms, p99Ms, maxMs } = figures;
  const reads = figures.readsPerDaemonPerSecond.toFixed(2);
  const rows = figures.rowsPerDaemonPerSecond.toFixed(2);
  const bytes = Math.round(figures.bytesPerDaemonPerSecond);
  const lag = `in force on the last daemon p50 ${p50Ms} p99 ${p99Ms} max ${maxMs} ms`;
  return `${name}: ${lag}; a daemon: ${reads} reads, ${rows} rows, ${bytes} bytes a second`;
};

/** Scenarios that CI runs too. The other ones, also in virtual time, take too long for CI. */
const BOUNDED_SCENARIOS: readonly Scenario[] = SCENARIOS.filter(
  ({ daemonCount, meanGapMs }) => daemonCount === 7 && meanGapMs === BURST_RATE.meanGapMs,
);

/** With the argument `bounds`, only figures that are the same on every machine are measured. */
const run = async (args: readonly string[]): Promise<boolean> => {
  const bounds = await readBounds('configuration');
  const isBoundsOnly = args[0] === 'bounds';
  const scenarios = isBoundsOnly ? BOUNDED_SCENARIOS : SCENARIOS;
  let isWithinBounds = true;
  for (let index = 0; index < scenarios.length; index += 1) {
    const scenario = scenarios[index] as Scenario;
    // eslint-disable-next-line no-await-in-loop -- one at a time
    const figures = await measureInForce(scenario);
    printLine(formatInForce(scenario.name, figures));
    isWithinBounds &&= figures.maxMs <= (bounds.maximumInForceMs ?? 0);
    isWithinBounds &&= figures.bytesPerDaemonPerSecond <= (bounds.maximumBytesPerSecond ?? 0);
  }
  (await measurePlanReads()).forEach(({ name, rowCount, characterCount }) => {
    printLine(`plan ${name}: reads ${rowCount} rows, ${characterCount} characters`);
    isWithinBounds &&= rowCount <= (bounds.maximumPlanRows ?? 0);
    isWithinBounds &&= characterCount <= (bounds.maximumPlanCharacters ?? 0);
  });
  if (isBoundsOnly) return isWithinBounds;
  const planningFigures = await measurePlanning();
  planningFigures.forEach(({ name, p50Ms, maxMs, medianBlockMs, longestBlockMs }) => {
    const durations = `p50 ${p50Ms.toFixed(1)} max ${maxMs.toFixed(1)} ms`;
    const longestBlock = `longest hold p50 ${medianBlockMs.toFixed(1)} max ${longestBlockMs.toFixed(1)} ms`;
    printLine(`plan ${name}: ${durations}, ${longestBlock}`);
    isWithinBounds &&= p50Ms <= (bounds.maximumPlanMs ?? 0);
  });
  return isWithinBounds;
};

export const configuration: Benchmark = { name: 'configuration', run };
