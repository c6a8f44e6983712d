/** Reads how many files and sockets the process may have open. */
import { readFile } from 'node:fs/promises';

const LIMITS_FILE = '/proc/self/limits';
const SOFT_LIMIT = /^Max open files\s+(?<limit>\d+)/mu;

/** Undefined if the limit is unknown or there is none. */
export const readDescriptorLimit = async (): Promise<number | undefined> => {
  const text = await readFile(LIMITS_FILE, 'utf8').catch(() => '');
  const limit = SOFT_LIMIT.exec(text)?.groups?.limit;
  return limit === undefined ? undefined : Number(limit);
};
