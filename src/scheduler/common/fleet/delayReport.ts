/** Describes submissions that end late or have become worthless while they wait. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { SubmissionState } from '../../../services/submissions/common/submission.js';
import { objectiveMsOf, WORTHLESS_FACTOR } from './fleetOrder.js';
import type { SubmissionRegistry } from './submissionRegistry.js';
import type { SubmissionRecord } from './taskRecords.js';

const INTERVAL_MS = 200;
/** The interval of the search among waiting submissions, which can be thousands. */
const WAITING_INTERVAL_MS = 1_000;

const describeCounts = (counts: ReadonlyMap<string, number>): string =>
  [...counts].map(([name, count]) => `${name}:${Math.round(count)}`).join('+') || 'none';

const describe = (
  record: SubmissionRecord,
  objectiveMs: number,
  wallNowMs: number,
  nowMs: number,
): string => {
  const { submission, delays, state, learntAtMs } = record;
  const taskCount = submission.steps.reduce((sum, step) => sum + step.taskCount, 0);
  const knownMs = nowMs - learntAtMs;
  return [
    submission.id,
    `queue=${submission.queueName}`,
    `state=${state}`,
    `objectiveMs=${Math.round(objectiveMs)}`,
    `ageMs=${Math.round(wallNowMs - submission.acceptedWallMs)}`,
    `knownMs=${Math.round(knownMs)}`,
    `waitedMs=${describeCounts(delays.waitedMs)}`,
    `runningMs=${Math.round(knownMs - delays.totalWaitedMs)}`,
    `runs=${delays.runCount}/${taskCount}`,
    `ahead=${describeCounts(delays.ahead ?? new Map())}`,
    `obstacles=${describeCounts(delays.obstacles ?? new Map())}`,
  ].join(' ');
};

/** Only submissions that run once have an objective for their whole duration. */
const hasObjective = ({ submission }: SubmissionRecord): boolean =>
  submission.occurrenceCount === 0 && submission.steps.every(({ isPersistent }) => !isPersistent);

/** A submission that is described if its age exceeds its objective by the factor. */
interface Candidate {
  readonly record: SubmissionRecord;
  readonly factor: number;
}

export class DelayReport {
  #nextAtMs = Number.NEGATIVE_INFINITY;

  #nextWaitingAtMs = Number.NEGATIVE_INFINITY;

  /** Returns a description of each submission that was found to be late since the last call. */
  collect(
    registry: SubmissionRegistry,
    configuration: FleetConfiguration,
    wallNowMs: number,
    nowMs: number,
  ): readonly string[] {
    if (nowMs < this.#nextAtMs) return [];
    this.#nextAtMs = nowMs + INTERVAL_MS;
    const ended = registry
      .takeEnded()
      .filter(({ state }) => state !== SubmissionState.Cancelled)
      .map((record) => ({ record, factor: 1 }));
    return [...ended, ...this.#waiting(registry, nowMs)].flatMap(({ record, factor }) => {
      const objectiveMs = objectiveMsOf(record.submission, configuration);
      const isLate = nowMs - record.learntAtMs > factor * objectiveMs;
      if (!isLate || record.delays.isReported || !hasObjective(record)) return [];
      record.delays.isReported = true;
      return [describe(record, objectiveMs, wallNowMs, nowMs)];
    });
  }

  #waiting(registry: SubmissionRegistry, nowMs: number): readonly Candidate[] {
    if (nowMs < this.#nextWaitingAtMs) return [];
    this.#nextWaitingAtMs = nowMs + WAITING_INTERVAL_MS;
    return registry.waiting.groups.flatMap(({ tasks }) => {
      const [first] = tasks;
      return first === undefined ? [] : [{ record: first.submission, factor: WORTHLESS_FACTOR }];
    });
  }
}
