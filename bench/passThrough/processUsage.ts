/** Reads the resident memory and processor time of another process from Linux's `/proc`. */
import { readFile } from 'node:fs/promises';

import { PeriodicTimer } from '../../src/base/node/periodicTimer.js';
import type { Disposable } from '../../src/base/common/lifecycle.js';

const RESIDENT_LINE = /^VmRSS:\s+(\d+) kB$/mu;
const KIBIBYTES_PER_MEGABYTE = 1_000_000 / 1_024;
/** Zero-based indexes of fields in `/proc/PID/stat`, counted after the process name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const MS_PER_TICK = 10;
const SAMPLE_INTERVAL_MS = 100;

export const residentMegabytes = async (pid: number): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = RESIDENT_LINE.exec(status);
  if (match === null) throw new Error(`no resident memory for process ${pid}`);
  return Number(match[1]) / KIBIBYTES_PER_MEGABYTE;
};

/** The processor time in user and system mode that a process has used since its start. */
export const processorMs = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The process name in parentheses may contain spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * MS_PER_TICK;
};

/** Samples the resident memory of a process and keeps the maximum until it is disposed. */
export class ResidentMemoryPeak implements Disposable {
  readonly #timer: PeriodicTimer;

  #peakMegabytes = 0;

  constructor(pid: number) {
    this.#timer = new PeriodicTimer(SAMPLE_INTERVAL_MS, async () => {
      this.#peakMegabytes = Math.max(this.#peakMegabytes, await residentMegabytes(pid));
    });
  }

  get peakMegabytes(): number {
    return this.#peakMegabytes;
  }

  dispose(): void {
    this.#timer.dispose();
  }
}
