/**
 * The compact form of a new shard's tasks. New tasks differ only in their index, so the first
 * index and the count describe all of them. A plan's row stores this form, because the full tasks
 * of a job of 10,000 tasks are a megabyte of JSON, and every reader of the row would block the
 * event loop while parsing it. The digest, the plans shown to operators and the rows written by a
 * confirmation use the full tasks.
 */
import { z } from 'zod';

import { type BatchTask, BatchTaskState } from '../../services/workload/common/workRows.js';

export const freshTasksSchema = z.strictObject({
  firstIndex: z.number().int().nonnegative(),
  count: z.number().int().positive(),
});
export type FreshTasks = z.infer<typeof freshTasksSchema>;

const freshTask = (index: number): BatchTask => ({
  index,
  state: BatchTaskState.Queued,
  attempt: 1,
  checkpoint: null,
  evictionCount: 0,
  failureWeight: 0,
});

/** Tasks that are created between two turns of the event loop. */
const TASKS_PER_CHUNK = 1_000;

/** Creates the full tasks in chunks. The caller can yield to the event loop between chunks. */
export function* freshTaskChunks({ firstIndex, count }: FreshTasks): Generator<BatchTask[]> {
  for (let start = 0; start < count; start += TASKS_PER_CHUNK) {
    const length = Math.min(TASKS_PER_CHUNK, count - start);
    yield Array.from({ length }, (_, offset) => freshTask(firstIndex + start + offset));
  }
}
