/** The benchmarks: `npm run bench -- NAME`, all of them without a name. */

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

const [wanted, ...args] = process.argv.slice(2);
const chosen = BENCHMARKS.filter(({ name }) => wanted === undefined || name === wanted);
if (chosen.length === 0) {
  process.stderr.write(
    `no benchmark ${wanted ?? ''}; there are: ${BENCHMARKS.map(({ name }) => name).join(', ')}\n`,
  );
  process.exitCode = 2;
}
const allWithinBounds = await chosen.reduce(async (before, benchmark) => {
  const isWithinBounds = await before;
  return (await benchmark.run(args)) && isWithinBounds;
}, Promise.resolve(true));
if (!allWithinBounds) process.exitCode = 1;
