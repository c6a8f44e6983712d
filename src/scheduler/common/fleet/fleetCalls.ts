/** The calls to workers that are due in the present state of the scheduler. */
import type { RunningTask, RunReference } from '../../../services/fleet/common/fleetWorker.js';
import type { FleetEffect } from './fleetEffects.js';
import type { PaceChange } from './interferenceControl.js';
import { StopReason } from './decisionLog.js';
import type { FleetOwnership } from './fleetOwnership.js';
import type { FleetState } from './fleetState.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { holdWaitMs, isHoldDue } from './holdTiming.js';
import { isStuck } from './stuckRuns.js';
import { RunState, type TaskRun } from './taskRecords.js';

export const toReference = (run: TaskRun, view: FleetWorkerView, epoch: number): RunReference => ({
  workerId: view.id,
  address: view.entry.address,
  taskName: run.task.name,
  run: run.run,
  fence: view.fence(epoch),
});

/** Notes a listed run that the owner does not know, so that it is stopped. */
export const noteUnknownRun = (
  state: FleetState,
  view: FleetWorkerView,
  running: RunningTask,
): void => {
  state.unknownRuns.set(`${view.id}#${running.taskName}#${running.run}`, {
    workerId: view.id,
    address: view.entry.address,
    taskName: running.taskName,
    run: running.run,
    fence: view.fence(state.epoch),
  });
};

/** Stops runs that make no progress, so that their tasks start elsewhere. */
export const stopStuckRuns = (state: FleetState, view: FleetWorkerView, nowMs: number): void => {
  view.runs.forEach((run) => {
    if (run.state !== RunState.Running || !isStuck(run, nowMs)) return;
    state.runTracker.noteFault(view, run.task, nowMs);
    state.runTracker.requestStops([run], StopReason.Stuck, nowMs);
  });
};

/** The start of an assigned run, with the end of the lease under which it runs. */
export const startEffect = (
  state: FleetState,
  view: FleetWorkerView,
  run: TaskRun,
  leaseEndWorkerMs: number,
): FleetEffect => {
  const { epoch } = state;
  const request = {
    ...toReference(run, view, epoch),
    spec: run.task.submission.submission.spec,
    leaseEndWorkerMs,
    checkpoint: run.task.saved.checkpoint,
  };
  return { kind: 'start', epoch, request };
};

export const paceEffect = (
  state: FleetState,
  view: FleetWorkerView,
  { run, percent }: PaceChange,
): FleetEffect => {
  const { epoch } = state;
  return { kind: 'pace', epoch, reference: toReference(run, view, epoch), percent };
};

/** The stops that are due. */
export const stopEffects = (state: FleetState, nowMs: number): readonly FleetEffect[] => {
  const effects: FleetEffect[] = [];
  const { epoch } = state;
  state.runTracker.takeDueStops(nowMs).forEach(({ run, view }) => {
    effects.push({ kind: 'stop', epoch, reference: toReference(run, view, epoch) });
  });
  state.unknownRuns.forEach((reference) => effects.push({ kind: 'stop', epoch, reference }));
  state.unknownRuns.clear();
  return effects;
};

/** The holds that are due, with the leases that the owner may grant. */
export const holdEffects = (
  state: FleetState,
  timing: FleetTiming,
  ownership: Pick<FleetOwnership, 'mayGrant' | 'isHeartbeatOverdue'>,
  nowMs: number,
): readonly FleetEffect[] => {
  const effects: FleetEffect[] = [];
  const { epoch, roster } = state;
  const mayGrant = ownership.mayGrant(nowMs);
  const isHeartbeatOverdue = ownership.isHeartbeatOverdue(nowMs);
  state.views.forEach((view) => {
    if (!isHoldDue(view, nowMs)) return;
    const limitAtMs = roster.grantLimitMs(view.id);
    const leaseEndWorkerMs =
      mayGrant && !view.isSilent ? view.grantLease(timing, limitAtMs, nowMs) : undefined;
    const isRenewal = leaseEndWorkerMs !== undefined;
    view.isHoldInFlight = true;
    const request = {
      workerId: view.id,
      address: view.entry.address,
      fence: view.fence(epoch),
      acknowledgedSequence: view.recordedSequence,
      incarnation: view.incarnation,
      ...(leaseEndWorkerMs === undefined ? {} : { leaseEndWorkerMs }),
      waitMs: holdWaitMs(view, timing, { isRenewal, isHeartbeatOverdue }, nowMs),
    };
    effects.push({ kind: 'hold', epoch, request });
  });
  return effects;
};
