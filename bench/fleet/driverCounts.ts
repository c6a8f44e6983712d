/** Counts the scheduler's actions and their cost in a simulation. */
import type { FleetEffect } from '../../src/scheduler/common/fleet/fleetEffects.js';
import type { HoldOutcome } from '../../src/services/fleet/common/fleetWorker.js';
import type { Transaction } from '../../src/services/table/common/table.js';

export interface DriverCounts {
  startCount: number;
  holdCount: number;
  /** Total entries in the answers to hold requests: running tasks and finished runs. */
  listedRunCount: number;
  listedEndCount: number;
  commitCount: number;
  committedRowCount: number;
  committedBytes: number;
  stepCount: number;
  noteCount: number;
  stopCount: number;
  paceCount: number;
  wastedProcessorSeconds: number;
  schedulerMs: number;
}

export const newDriverCounts = (): DriverCounts => ({
  ...{ startCount: 0, holdCount: 0, listedRunCount: 0, listedEndCount: 0 },
  ...{ commitCount: 0, committedRowCount: 0, committedBytes: 0 },
  ...{ stepCount: 0, noteCount: 0, stopCount: 0, paceCount: 0 },
  ...{ wastedProcessorSeconds: 0, schedulerMs: 0 },
});

export const countHold = (counts: DriverCounts, outcome: HoldOutcome): void => {
  counts.holdCount += 1;
  if (outcome.kind !== 'held') return;
  counts.listedRunCount += outcome.answer.running.length;
  counts.listedEndCount += outcome.answer.finished.length;
};

export const countCommit = (counts: DriverCounts, { writes }: Transaction): void => {
  counts.commitCount += 1;
  counts.committedRowCount += writes.length;
  counts.committedBytes += JSON.stringify(writes).length;
};

/** Counts a logged decision, and the runs that it stopped because of interference. */
export const countLoggedDecision = (
  counts: DriverCounts,
  { event, fields }: Extract<FleetEffect, { kind: 'log' }>,
): void => {
  counts.noteCount += 1;
  if (event !== 'runs-stopped' || fields.reason !== 'interference') return;
  counts.stopCount += String(fields.runs).split(' ').length;
};
