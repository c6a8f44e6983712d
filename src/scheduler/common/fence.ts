/**
 * Ensures that a transaction whose answer was lost has either committed or never will.
 *
 * Row versions alone block a late transaction only if a later one has written the same rows. A
 * start is sent on the basis of rows that were read and writes no row. A late transaction that
 * removes an assignment could therefore commit after the assignment was started, and the task would
 * run in two places. Every transaction of an owner requires the version of the cell's fence row.
 * The owner writes that row after a lost answer, before it reads anything again, so the condition
 * of the late transaction fails. This costs one write for each lost answer.
 */
import { ErrorKind, type Failure } from '../../services/errors/common/errorKinds.js';
import type { RowCondition } from '../../services/table/common/table.js';
import { ABSENT_VERSION } from '../../services/table/common/table.js';
import { cellFenceKey, cellOwnerKey } from '../../services/workload/common/workRows.js';
import type { CellRows } from './cellRows.js';
import type { CellDecision, CellState } from './cellState.js';

/** The condition that the fence has not been written since the rows were read. */
export const fenceCondition = (cell: string, rows: CellRows): RowCondition => {
  const key = cellFenceKey(cell);
  return { key, version: rows.versions.get(key) ?? ABSENT_VERSION };
};

/** True if a failed transaction may have committed or may still commit. */
export const needsFence = (error: Failure): boolean => error.kind !== ErrorKind.StoreUnavailable;

/**
 * Writes the fence if it is due. Fence writes have the same minimum interval as rounds, so that a
 * store that loses every answer gets no more calls than it would for work.
 */
export const startFence = (state: CellState, nowMs: number): CellDecision => {
  const isDue = state.isFenceDue && state.pending === undefined && nowMs >= state.nextRoundAtMs;
  if (!isDue) return { state, effects: [] };
  const operationId = `${state.lease.selfId}:${state.cell}:fence:${state.operationCount}`;
  const transaction = {
    operationId,
    conditions: [{ key: cellOwnerKey(state.cell), version: state.lease.ownerRowVersion }],
    writes: [{ key: cellFenceKey(state.cell), value: { operationId } }],
  };
  return {
    state: {
      ...state,
      operationCount: state.operationCount + 1,
      nextRoundAtMs: nowMs + state.timing.roundIntervalMs,
      pending: { kind: 'fence' },
    },
    effects: [{ kind: 'commit', epoch: state.lease.epoch, transaction }],
  };
};
