/** Parses the rows of jobs' shards without blocking the event loop. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import type { TableRow } from '../../services/table/common/table.js';
import { isEnded, type WorkRow, workRowSchema } from '../../services/workload/common/workRows.js';

/**
 * Parses and validates shards. A shard of a large job takes milliseconds, so the function yields
 * to the event loop before each one. The rows must still come from a single read: a shard that
 * moves to another cell between two reads would be missed or counted twice.
 */
export const parseShards = async (rows: readonly TableRow[]): Promise<readonly WorkRow[]> => {
  const shards: WorkRow[] = [];
  for (let index = 0; index < rows.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- yields to the event loop before each shard
    await nextTurn();
    shards.push(workRowSchema.parse(rows[index]?.value));
  }
  return shards;
};

/** Parses shards and keeps only the tasks that have not ended. */
export const parseOpenShards = async (rows: readonly TableRow[]): Promise<readonly WorkRow[]> =>
  (await parseShards(rows)).map((shard) => ({
    ...shard,
    tasks: shard.tasks.filter((task) => !isEnded(task)),
  }));
