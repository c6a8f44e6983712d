import { describe, expect, it } from 'vitest';

import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { EvidenceKind, isRunOver } from '../../common/fleet/runEvidence.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, RunState, type TaskRun } from '../../common/fleet/taskRecords.js';
import { entryOf, STEP, submissionOf } from './fleetFixtures.js';

const LEASES_OVER_AT_MS = 6_000;
const SETTLED_AT_MS = 100;

const viewOf = (): FleetWorkerView =>
  new FleetWorkerView(entryOf('worker', false, 1), LEASES_OVER_AT_MS, 0);

const runOf = (state: RunState): TaskRun => {
  const registry = new SubmissionRegistry();
  registry.add(submissionOf('00000000000000c1', [STEP]), undefined, NO_ASSIGNMENTS, 0);
  const [task] = [...registry.waiting];
  if (task === undefined) throw new Error('no task waits');
  return Object.assign(newRun(task, 1, 'worker', 0), { state, settledAtMs: SETTLED_AT_MS });
};

const unlisted = (requestedAtMs: number) =>
  ({ kind: EvidenceKind.Unlisted, requestedAtMs }) as const;

describe('isRunOver', () => {
  it('is true for a withdrawn run only if its start was never sent', () => {
    const evidence = { kind: EvidenceKind.NotSent };
    expect(isRunOver(runOf(RunState.Assigned), viewOf(), evidence, 0)).toBe(true);
    [RunState.Starting, RunState.Unanswered, RunState.Running, RunState.Stopping].forEach((state) =>
      expect(isRunOver(runOf(state), viewOf(), evidence, 0)).toBe(false),
    );
  });

  it('is true for a running run that a list lacks, unless the list was requested too early', () => {
    const run = runOf(RunState.Running);
    expect(isRunOver(run, viewOf(), unlisted(SETTLED_AT_MS), 0)).toBe(true);
    expect(isRunOver(run, viewOf(), unlisted(SETTLED_AT_MS - 1), 0)).toBe(false);
  });

  it('is false for an unlisted run whose start has no answer until a stop is confirmed', () => {
    const run = runOf(RunState.Unanswered);
    expect(isRunOver(run, viewOf(), unlisted(SETTLED_AT_MS), 0)).toBe(false);
    run.state = RunState.Stopping;
    expect(isRunOver(run, viewOf(), unlisted(SETTLED_AT_MS), 0)).toBe(false);
    run.isStopConfirmed = true;
    expect(isRunOver(run, viewOf(), unlisted(SETTLED_AT_MS), 0)).toBe(true);
  });

  it('is true if a new process answers under a raised fence, and false otherwise', () => {
    const view = viewOf();
    const evidence = { kind: EvidenceKind.AnotherProcess };
    expect(isRunOver(runOf(RunState.Running), view, evidence, 0)).toBe(false);
    view.noteIncarnation(2, 0);
    expect(isRunOver(runOf(RunState.Running), view, evidence, 0)).toBe(true);
  });

  it('is true without an answer only after all leases have ended, even for an unlisted worker', () => {
    const view = viewOf();
    view.isListed = false;
    const evidence = { kind: EvidenceKind.LeasesOver };
    const run = runOf(RunState.Running);
    expect(isRunOver(run, view, evidence, LEASES_OVER_AT_MS - 1)).toBe(false);
    expect(isRunOver(run, view, evidence, LEASES_OVER_AT_MS)).toBe(true);
  });
});
