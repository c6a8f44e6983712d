/**
 * Reads the committed bounds that the benchmarks check their figures against. CI only runs the
 * benchmarks in virtual time, because their figures are the same on every machine.
 */
import { readFile } from 'node:fs/promises';

/**
 * Returns the bounds of one benchmark by name, from `bench/bounds.json` under the package's root.
 * Throws if the file has no entry for the benchmark.
 */
export const readBounds = async (benchmark: string): Promise<Readonly<Record<string, number>>> => {
  const text = await readFile('bench/bounds.json', 'utf8');
  const boundsByBenchmark = JSON.parse(text) as Readonly<
    Record<string, Readonly<Record<string, number>>>
  >;
  const bounds = boundsByBenchmark[benchmark];
  if (bounds === undefined) throw new Error(`bench/bounds.json has no entry for ${benchmark}`);
  return bounds;
};
