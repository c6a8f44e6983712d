/** The benchmarks: `npm run bench -- NAME`, all of them without a name. */

import { runCapacity } from './capacity/capacity.js';

/** One benchmark; it prints its figures and returns false when a committed bound is crossed. */
export interface Benchmark {
  readonly name: string;
  readonly run: (args: readonly string[]) => Promise<boolean>;
}

const BENCHMARKS: readonly Benchmark[] = [{ name: 'capacity', run: runCapacity }];

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
