import { describe, expect, it } from 'vitest';

import { SubmissionState } from '../../../services/submissions/common/submission.js';
import {
  type CheckpointPage,
  checkpointPageKey,
  checkpointPageSchema,
} from '../../../services/submissions/common/submissionRows.js';
import type { RowWrite } from '../../../services/table/common/table.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';

/** As long as the checkpoints in the platform's examples. */
const checkpointOf = (text: number | string): string => String(text).padStart(16, '0');
const idOf = (index: number): string => index.toString(16).padStart(16, '0');
const MAXIMUM_ROW_BYTES = 65_536;
const LONGEST_LEASE_MS = 6_000;

const newFleet = (submissionCount: number, taskCount: number, processorMillis = 1_000) => {
  const registry = new SubmissionRegistry();
  const size = { ...STEP.size, processorMillis };
  for (let index = 0; index < submissionCount; index += 1) {
    const step = { ...STEP, taskCount, size, savesProgress: true };
    registry.add(submissionOf(idOf(index), [step]), undefined, NO_ASSIGNMENTS, 0);
  }
  return { registry, tasks: [...registry.waiting] };
};

const listAll = (
  {
    registry,
    tasks,
  }: Pick<ReturnType<typeof newFleet>, 'registry'> & {
    readonly tasks: readonly TaskRecord[];
  },
  checkpoint: string,
  nowMs: number,
): void => tasks.forEach((task) => registry.checkpoints.noteListed(task, checkpoint, nowMs, nowMs));

/** A table that stores the pages, and what a new owner reads from it. */
class PageTable {
  readonly rows = new Map<string, CheckpointPage>();

  readonly isStored = (key: string): boolean => this.rows.has(key);

  commit(registry: SubmissionRegistry, nowMs: number): readonly RowWrite[] {
    const writes = registry.checkpoints.takeDueWrites(this.isStored, nowMs);
    writes.forEach(({ key, value }) => {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, checkpointPageSchema.parse(value));
    });
    registry.checkpoints.noteCommitted();
    return writes;
  }

  get checkpoints(): readonly string[] {
    const pages = [...this.rows.values()];
    return pages.flatMap((page) => Object.values(page).flat()).map(([, checkpoint]) => checkpoint);
  }
}

const bytesOf = (writes: readonly RowWrite[]): number =>
  Buffer.byteLength(JSON.stringify(writes.map(({ value }) => value)));

describe('the pages of checkpoints', () => {
  it('refresh those of 14,000 tasks that all save within the longest lease', () => {
    const fleet = newFleet(1_000, 14);
    const table = new PageTable();
    for (let nowMs = 0; nowMs < 2 * LONGEST_LEASE_MS; nowMs += 100) {
      listAll(fleet, checkpointOf(nowMs), nowMs);
      table.commit(fleet.registry, nowMs);
    }
    expect(table.checkpoints).toHaveLength(14_000);
    const oldestMs = Math.min(...table.checkpoints.map(Number));
    expect(oldestMs).toBeGreaterThanOrEqual(LONGEST_LEASE_MS);
  });

  it('take at most 128 KB a second, in at most two writes of four rows', () => {
    const fleet = newFleet(1_000, 14);
    const table = new PageTable();
    const perSecond = Array.from({ length: 5 }, (_, second) => {
      const writes = Array.from({ length: 100 }, (__, index) => {
        const nowMs = second * 1_000 + index * 10;
        listAll(fleet, checkpointOf(nowMs), nowMs);
        return table.commit(fleet.registry, nowMs);
      });
      return writes.filter(({ length }) => length > 0);
    });
    perSecond.forEach((writes) => {
      expect(writes.length).toBeLessThanOrEqual(2);
      writes.forEach(({ length }) => expect(length).toBeLessThanOrEqual(4));
      expect(bytesOf(writes.flat())).toBeLessThanOrEqual(131_072);
    });
  });

  it('store first what would take the most processor time to repeat', () => {
    const { registry, tasks } = newFleet(1_000, 14);
    const table = new PageTable();
    const large = { ...STEP, size: { ...STEP.size, processorMillis: 16_000_000 } };
    registry.add(submissionOf(idOf(5_000), [large]), undefined, NO_ASSIGNMENTS, 0);
    const [largeTask] = [...registry.waiting].slice(-1);
    listAll({ registry, tasks }, checkpointOf(1), 0);
    listAll({ registry, tasks: [largeTask as TaskRecord] }, checkpointOf('large'), 0);
    table.commit(registry, 100);
    expect(table.checkpoints).toContain(checkpointOf('large'));
    expect(table.checkpoints.length).toBeLessThan(14_000);
  });

  it('fit into rows of the table whatever characters and sizes the checkpoints have', () => {
    const fleet = newFleet(40, 10);
    const table = new PageTable();
    ['\u0001'.repeat(500), '\u{1f9ea}'.repeat(900), 'a'.repeat(9_000), 'b'].forEach(
      (text, index) => {
        for (let nowMs = 0; nowMs < 100_000; nowMs += 500) {
          listAll(fleet, text, index * 100_000 + nowMs);
          const writes = table.commit(fleet.registry, index * 100_000 + nowMs);
          writes.forEach((write) =>
            expect(bytesOf([write])).toBeLessThanOrEqual(MAXIMUM_ROW_BYTES),
          );
        }
        expect(table.checkpoints.filter((checkpoint) => checkpoint === text)).toHaveLength(400);
      },
    );
  });

  it('leave out a checkpoint that is larger than a page, and keep storing others', () => {
    const fleet = newFleet(2, 1);
    const [first, second] = fleet.tasks as [TaskRecord, TaskRecord];
    const table = new PageTable();
    for (let nowMs = 0; nowMs < 5_000; nowMs += 500) {
      listAll({ ...fleet, tasks: [first] }, 'a'.repeat(100_000 + nowMs), nowMs);
      listAll({ ...fleet, tasks: [second] }, checkpointOf(nowMs), nowMs);
      table.commit(fleet.registry, nowMs);
    }
    expect([...table.rows.keys()]).toEqual([checkpointPageKey(0)]);
    expect(table.checkpoints).toEqual([checkpointOf(4_500)]);
  });

  it('are removed with the submissions whose checkpoints they have', () => {
    const { registry, tasks } = newFleet(100, 14);
    const table = new PageTable();
    listAll({ registry, tasks }, checkpointOf(1), 0);
    for (let nowMs = 0; nowMs < 5_000; nowMs += 100) table.commit(registry, nowMs);
    expect(table.checkpoints).toHaveLength(1_400);
    for (let index = 0; index < 100; index += 1) registry.cancel(idOf(index));
    for (let nowMs = 5_000; nowMs < 10_000; nowMs += 100) table.commit(registry, nowMs);
    expect(table.rows.size).toBe(0);
  });

  it('are not written while no task has saved anything new', () => {
    const fleet = newFleet(10, 14);
    const table = new PageTable();
    listAll(fleet, checkpointOf(1), 0);
    expect(table.commit(fleet.registry, 0)).toHaveLength(1);
    listAll(fleet, checkpointOf(1), 1_000);
    expect(table.commit(fleet.registry, 2_000)).toEqual([]);
  });

  it('are written again if their transaction may not be stored', () => {
    const fleet = newFleet(10, 14);
    const table = new PageTable();
    listAll(fleet, checkpointOf(1), 0);
    expect(fleet.registry.checkpoints.takeDueWrites(table.isStored, 0)).toHaveLength(1);
    expect(table.commit(fleet.registry, 1_000)).toHaveLength(1);
    expect(table.checkpoints).toHaveLength(140);
  });

  it('give a task that stands in two of them the checkpoint that was written last', () => {
    const registry = new SubmissionRegistry();
    registry.checkpoints.inherit([
      { index: 1, page: { [idOf(0)]: [[0, 'older']] } },
      { index: 0, page: { [idOf(0)]: [[0, 'newer']] } },
    ]);
    registry.add(submissionOf(idOf(0), [STEP]), undefined, NO_ASSIGNMENTS, 0);
    expect([...registry.waiting].map(({ saved }) => saved.checkpoint)).toEqual(['newer']);
  });

  it('give no task the checkpoint of another occurrence or of a task that is done', () => {
    const registry = new SubmissionRegistry();
    registry.checkpoints.inherit([
      {
        index: 0,
        page: {
          [idOf(0)]: [
            [0, 'a'],
            [3, 'b'],
          ],
        },
      },
    ]);
    const recurring = {
      ...submissionOf(idOf(0), [{ ...STEP, taskCount: 2 }]),
      ...{ occurrenceCount: 2, occurrenceIntervalMs: 1_000 },
    };
    const progress = { state: SubmissionState.Running, done: [0], failedRuns: {} };
    registry.add(recurring, progress, NO_ASSIGNMENTS, 0);
    registry.openDueOccurrences(5_000, 0);
    const checkpoints = [0, 1, 2, 3].map((position) => {
      const name = `${idOf(0)}.${Math.floor(position / 2)}.0.${position % 2}`;
      return registry.find(name)?.saved.checkpoint;
    });
    expect(checkpoints).toEqual(['', '', '', 'b']);
  });
});
