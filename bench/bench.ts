/** Runs the benchmark that `npm run bench -- NAME` names, or all benchmarks without a name. */

import type { Benchmark } from './benchmark.js';
import { capacity } from './capacity/capacity.js';
import { colocation } from './colocation/colocation.js';
import { configuration } from './configuration/configuration.js';
import { fleet } from './fleet/fleet.js';
import { passThrough } from './passThrough/passThrough.js';
import { peers } from './peers/peers.js';
import { requestsBenchmark } from './requests/requestsBench.js';
import { scheduling } from './scheduling/scheduling.js';
import { traceCost } from './traceCost/traceCost.js';

const BENCHMARKS: readonly Benchmark[] = [
  capacity,
  colocation,
  configuration,
  fleet,
  passThrough,
  peers,
  requestsBenchmark,
  scheduling,
  traceCost,
];

const [requestedName, ...args] = process.argv.slice(2);
const selectedBenchmarks = BENCHMARKS.filter(
  ({ name }) => requestedName === undefined || name === requestedName,
);
if (selectedBenchmarks.length === 0) {
  process.stderr.write(
    `no benchmark ${requestedName ?? ''}; there are: ${BENCHMARKS.map(({ name }) => name).join(', ')}\n`,
  );
  process.exitCode = 2;
}
const allWithinBounds = await selectedBenchmarks.reduce(async (before, benchmark) => {
  const isWithinBounds = await before;
  return (await benchmark.run(args)) && isWithinBounds;
}, Promise.resolve(true));
if (!allWithinBounds) process.exitCode = 1;
