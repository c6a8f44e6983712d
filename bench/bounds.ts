/**
 * The committed bounds that the benchmarks are held against. CI runs only those whose bounds are
 * of virtual time, which are the same on every machine.
 */
import { readFile } from 'node:fs/promises';

/** The bounds of one benchmark by name, from `bench/bounds.json` under the package's root. */
export const readBounds = async (benchmark: string): Promise<Readonly<Record<string, number>>> => {
  const text = await readFile('bench/bounds.json', 'utf8');
  const boundsByBenchmark = JSON.parse(text) as Readonly<
    Record<string, Readonly<Record<string, number>>>
  >;
  const bounds = boundsByBenchmark[benchmark];
  if (bounds === undefined) throw new Error(`bench/bounds.json holds nothing for ${benchmark}`);
  return bounds;
};
