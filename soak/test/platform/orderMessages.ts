/** The JSON bodies of orders to workers and of their answers. */
import type { FastifyReply } from 'fastify';

import {
  type HoldAnswer,
  type RunningTask,
  StartOutcome,
} from '../../../src/services/fleet/common/fleetWorker.js';

/** The header that names the worker to which an order is addressed. */
export const INSTANCE_HEADER = 'snipethread-target-instance';
export const STATUS_OTHER_WORKER = 421;
const STATUS_CONFLICT = 409;
const PERSISTENT_START_MS = 500;
const WHOLE_PERCENT = 100;

export interface Order {
  readonly Task: string;
  readonly Run: number;
  readonly Fence?: number;
  readonly DueMs?: number;
  readonly Spec?: string;
  readonly AckedUpto?: number;
  readonly WaitMs?: number;
}

const REASONS: Readonly<Partial<Record<StartOutcome, string>>> = {
  [StartOutcome.Fenced]: 'fence',
  [StartOutcome.Superseded]: 'old',
  [StartOutcome.Late]: 'late',
};

export const answerOrder = (reply: FastifyReply, outcome: StartOutcome): FastifyReply => {
  const Reason = REASONS[outcome];
  return Reason === undefined ? reply.send({}) : reply.code(STATUS_CONFLICT).send({ Reason });
};

/** A persistent task reports 100 per cent after a short start. */
export const persistentPercent = (runsForMs: number): number =>
  Math.min(WHOLE_PERCENT, Math.floor((WHOLE_PERCENT * runsForMs) / PERSISTENT_START_MS));

export const toHoldBody = (
  { workerClockMs, incarnation, running, finished }: HoldAnswer,
  percentOf: (run: RunningTask) => number,
): unknown => ({
  ClockMs: workerClockMs,
  born: incarnation,
  Running: running.map((run) => [
    run.taskName,
    run.run,
    run.checkpoint,
    percentOf(run),
    run.recentMeasurement,
  ]),
  Finished: finished.map((end) => [end.sequence, end.taskName, end.run, end.end, end.checkpoint]),
});
