/** Plans that submit or cancel batch jobs. */
import { isLeft } from 'fp-ts/lib/Either.js';

import { canonicalJson } from '../../base/common/json.js';
import { zonesInUse } from '../../services/configuration/common/configurationView.js';
import { POLICY_KEY, quotaKey, zoneKey } from '../../services/configuration/common/documents.js';
import { fitsInto, multipliedResources } from '../../services/worker/common/resources.js';
import {
  cancellationKey,
  jobKey,
  type JobRow,
  toJobId,
  toShardId,
  workKey,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import { distributeTasks } from './taskDistribution.js';
import type { SubmitJobIntent } from './intent.js';
import type { PlanStep } from './plan.js';
import {
  guardDocument,
  impossible,
  planned,
  type Planned,
  type PlanningBasis,
  setRow,
} from './planningBasis.js';
import { checkPlaceable, sizeText } from './sizeChecks.js';

/** How many missing jobs an error message names. */
const NAMED_JOB_COUNT = 5;

/** Steps that create one shard of the job for each zone that gets tasks. */
const shardSteps = (
  basis: PlanningBasis,
  intent: SubmitJobIntent,
  jobId: string,
  zones: readonly string[],
): readonly PlanStep[] => {
  const { taskCount, size, team, urgency, workMs } = intent;
  const shares = distributeTasks(jobId, taskCount, size, zones, basis.workers);
  return shares.flatMap(({ zone, firstIndex, count }) => {
    const shardId = toShardId(jobId, zone);
    const shard: WorkRow = { shardId, jobId, team, size, urgency, workMs, tasks: [] };
    return setRow(basis, workKey(zone, shardId), shard).map((step) => ({
      ...step,
      freshTasks: { firstIndex, count },
    }));
  });
};

const toJobRow = (intent: SubmitJobIntent, jobId: string): JobRow => ({
  jobId,
  team: intent.team,
  submissionKey: intent.submissionKey,
  taskCount: intent.taskCount,
  size: intent.size,
  urgency: intent.urgency,
  workMs: intent.workMs,
});

/** Why a job cannot run or must not be submitted; undefined if it can be planned. */
const refusalReason = (basis: PlanningBasis, intent: SubmitJobIntent): string | undefined => {
  const { policy, quotas } = basis.view;
  if (!policy.isSubmissionOpen) return 'the policy takes no new jobs at present';
  if (intent.taskCount > policy.maximumTaskCountOfJob) {
    return `the policy allows a job ${policy.maximumTaskCountOfJob} tasks, not ${intent.taskCount}`;
  }
  const limit = quotas.get(intent.team)?.limit;
  if (limit !== undefined && !fitsInto(intent.size, limit)) {
    return `one task (${sizeText(intent.size)}) exceeds the quota of ${intent.team} (${sizeText(limit)})`;
  }
  return undefined;
};

const jobWarnings = (basis: PlanningBasis, intent: SubmitJobIntent): readonly string[] => {
  const limit = basis.view.quotas.get(intent.team)?.limit;
  const allTasksSize = multipliedResources(intent.size, intent.taskCount);
  if (limit === undefined || fitsInto(allTasksSize, limit)) return [];
  return [`all ${intent.taskCount} tasks at once would exceed the quota of ${intent.team}`];
};

/**
 * Plans the submission of a job. Its tasks are distributed over the zones that are in use now. If
 * one of them were withdrawn before the confirmation, its shard would be written to a cell that
 * starts no tasks. The plan is therefore guarded by the zones' rows, and also by the quota and
 * the policy that the job was checked against.
 */
export const planJob = (basis: PlanningBasis, intent: SubmitJobIntent): Planned => {
  const jobId = toJobId(intent.team, intent.submissionKey);
  const row = toJobRow(intent, jobId);
  const existing = basis.rows.get(jobKey(jobId));
  if (existing !== undefined) {
    const isSame = canonicalJson(existing.value) === canonicalJson(row);
    if (isSame) return planned(`job ${jobId} has been submitted before`, []);
    return impossible(`job ${jobId} was submitted with other contents`);
  }
  const refusal = refusalReason(basis, intent);
  if (refusal !== undefined) return impossible(refusal);
  const placeable = checkPlaceable(basis, intent.size);
  if (isLeft(placeable)) return placeable;
  const zones = zonesInUse(basis.view);
  if (zones.length === 0) return impossible('no availability zone is in use');
  const steps = [...setRow(basis, jobKey(jobId), row), ...shardSteps(basis, intent, jobId, zones)];
  return planned(`submit job ${jobId} of ${intent.taskCount} tasks`, steps, {
    guards: [...zones.map(zoneKey), quotaKey(intent.team), POLICY_KEY].map((key) =>
      guardDocument(basis, key),
    ),
    notifiedCells: zones,
    warnings: [...placeable.right, ...jobWarnings(basis, intent)],
  });
};

export const planCancellation = (basis: PlanningBasis, jobIds: readonly string[]): Planned => {
  const maximumCount = basis.view.policy.maximumCancelledJobCount;
  if (jobIds.length > maximumCount) {
    return impossible(
      `the policy allows ${maximumCount} jobs in one cancellation, not ${jobIds.length}`,
    );
  }
  const missing = jobIds.filter((jobId) => !basis.rows.has(jobKey(jobId)));
  if (missing.length > 0) {
    return impossible(`no such jobs: ${missing.slice(0, NAMED_JOB_COUNT).join(', ')}`);
  }
  // Every cell gets the same row, because shards may move between cells.
  const zones = [...basis.view.zones.keys()];
  const uniqueIds = [...new Set(jobIds)];
  const steps = zones.flatMap((zone) =>
    setRow(basis, cancellationKey(zone, basis.planId), { jobIds: uniqueIds }),
  );
  return planned(`cancel ${uniqueIds.length} jobs`, steps, { notifiedCells: zones });
};
