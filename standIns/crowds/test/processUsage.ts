/** Reads what a process uses, and starts processes with lowered limits. */
import { type ChildProcess, spawn, type SpawnOptions } from 'node:child_process';
import { readdir, readFile } from 'node:fs/promises';

export const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

export interface ProcessLimits {
  /** The limit of the old generation of the heap. */
  readonly heapMb?: number;
  readonly descriptors?: number;
}

/** Starts Node.js under limits. The process id is that of the program itself. */
export const spawnLimited = (
  args: readonly string[],
  { heapMb, descriptors }: ProcessLimits,
  env: NodeJS.ProcessEnv = process.env,
): ChildProcess => {
  const nodeArgs = heapMb === undefined ? args : [`--max-old-space-size=${heapMb}`, ...args];
  const options: SpawnOptions = { env, stdio: ['ignore', 'pipe', 'pipe'] };
  if (descriptors === undefined) return spawn(process.execPath, nodeArgs, options);
  const script = `ulimit -n ${descriptors} && exec "$0" "$@"`;
  return spawn('/bin/sh', ['-c', script, process.execPath, ...nodeArgs], options);
};

/** The most memory that the process has had resident at a time. */
export const peakResidentBytes = async (processId: number): Promise<number> => {
  const status = await readFile(`/proc/${processId}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/u.exec(status)?.[1]) * BYTES_PER_KB;
};

export const openDescriptorCount = async (processId: number): Promise<number> =>
  (await readdir(`/proc/${processId}/fd`)).length;
