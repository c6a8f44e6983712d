import { describe, expect, it } from 'vitest';

import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { RoomMisses } from '../../common/fleet/roomMisses.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import {
  NO_ASSIGNMENTS,
  type OccurrenceRecord,
  type TaskRecord,
} from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';

const ID = '00000000000000a1';
const STEP_NAME = 'step';

const viewOf = (id: string): FleetWorkerView =>
  new FleetWorkerView(
    {
      ...{ id, address: id, serviceName: 'service', availabilityZone: 'zone', rack: '' },
      ...{ isDraining: false, capacity: WORKER_CAPACITY, labels: [], incarnation: 1 },
    },
    0,
    0,
  );

describe('a step that has found no room', () => {
  it('checks only changed workers in each round, and all workers in each full search', () => {
    const registry = new SubmissionRegistry();
    registry.add(submissionOf(ID, [STEP]), undefined, NO_ASSIGNMENTS, 0);
    const task = registry.find(`${ID}.0.0.0`) as TaskRecord;
    const occurrence = task.submission.occurrences.get(0) as OccurrenceRecord;
    const views = Array.from({ length: 300 }, (_, index) => viewOf(`worker-${index}`));
    const misses = new RoomMisses();
    const candidatesAt = (nowMs: number): readonly FleetWorkerView[] => {
      misses.beginRound(views);
      const candidates = misses.candidates(occurrence, STEP_NAME, 'service', views, nowMs);
      misses.recordMiss(occurrence, STEP_NAME, nowMs);
      return candidates;
    };
    expect(candidatesAt(0)).toHaveLength(300);
    expect(candidatesAt(50)).toHaveLength(0);
    const [first, second] = views as [FleetWorkerView, FleetWorkerView];
    first.addRun(newRun(task, 1, first.id, 60));
    second.sampledAtMs = 60;
    expect(candidatesAt(100)).toEqual([first, second]);
    expect(candidatesAt(150)).toHaveLength(0);
    expect(candidatesAt(500)).toHaveLength(300);
    expect(candidatesAt(550)).toHaveLength(0);
    expect(candidatesAt(1_000)).toHaveLength(300);
  });
});
