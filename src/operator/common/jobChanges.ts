/** Collects the tasks of jobs that a plan starts, assigns to zones, or ends. */
import type { PlanStep } from './plan.js';
import {
  jobKey,
  toJobId,
  type WorkRow,
  workPrefix,
} from '../../services/workload/common/workRows.js';
import { type Intent, IntentKind, type JobTerms } from './intent.js';
import type { JobChanges, JobTasks, ZoneTasks } from './planEffects.js';

/** The jobs that an intent submits. */
export const submittedJobs = (intent: Intent): readonly JobTerms[] => {
  if (intent.intent === IntentKind.SubmitJob) return [intent];
  return intent.intent === IntentKind.SubmitJobs ? intent.jobs : [];
};

export const jobIdOfTerms = ({ team, submissionKey }: JobTerms): string =>
  toJobId(team, submissionKey);

const endingTasks = (ending: readonly WorkRow[]): readonly JobTasks[] => {
  const jobs = new Map<string, JobTasks>();
  ending.forEach(({ jobId, team, size, tasks }) => {
    const count = (jobs.get(jobId)?.count ?? 0) + tasks.length;
    jobs.set(jobId, { taskId: jobId, team, size, count });
  });
  return [...jobs.values()];
};

/** Tasks of the shards that the steps write for each zone. */
const zoneTasks = (steps: readonly PlanStep[], zones: readonly string[]): readonly ZoneTasks[] =>
  steps.flatMap(({ key, after, freshTasks }) => {
    const zone = zones.find((name) => key.startsWith(workPrefix(name)));
    if (zone === undefined || after === null) return [];
    const { jobId, size, tasks } = after as unknown as WorkRow;
    return [{ zone, jobId, size, count: freshTasks?.count ?? tasks.length }];
  });

export const jobChanges = (
  intent: Intent,
  steps: readonly PlanStep[],
  zones: readonly string[],
  /** Shards of the jobs to cancel, with only the tasks that have not ended. */
  ending: readonly WorkRow[],
): JobChanges => {
  const writtenKeys = new Set(steps.map(({ key }) => key));
  const isNew = (terms: JobTerms): boolean => writtenKeys.has(jobKey(jobIdOfTerms(terms)));
  return {
    starting: submittedJobs(intent)
      .filter(isNew)
      .map((terms) => ({
        ...{ taskId: jobIdOfTerms(terms), team: terms.team },
        ...{ size: terms.size, count: terms.taskCount },
      })),
    ending: endingTasks(ending),
    inZones: zoneTasks(steps, zones),
  };
};
