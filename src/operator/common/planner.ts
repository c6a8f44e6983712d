/** Works out a plan from an intent and what is in force. Nothing here writes. */
import { type Either, isLeft, right } from 'fp-ts/lib/Either.js';

import { canonicalJson } from '../../base/common/json.js';
import {
  type ConfigurationView,
  isZoneInUse,
  withDocuments,
  zonesInUse,
} from '../../platform/configuration/common/configurationView.js';
import {
  changeKey,
  changeRowSchema,
  DOCUMENT_PREFIX,
  POLICY_KEY,
  quotaKey,
  serviceKey,
  workerKey,
  zoneKey,
  ZoneState,
} from '../../platform/configuration/common/documents.js';
import type { Failure } from '../../platform/errors/common/errorKinds.js';
import type { TableRow } from '../../platform/table/common/table.js';
import { addResources, fitsInto, sumResources } from '../../platform/worker/common/resources.js';
import { jobKey, toJobId, type WorkRow } from '../../platform/workload/common/workRows.js';
import { type Intent, IntentKind } from './intent.js';
import { planCancellation, planJob } from './jobPlanning.js';
import type { PlanEffects, PlanGuard, PlanStep } from './plan.js';
import { type JobTasks, planEffects } from './planEffects.js';
import {
  guardDocument,
  impossible,
  planned,
  type Planned,
  type PlannedSteps,
  type PlanningBasis,
  setRow,
} from './planningBasis.js';
import { ServiceTotals } from './replicas.js';
import { checkPlaceable, sizeText } from './sizeChecks.js';

/** The deciding part of a plan. */
export interface PlannedChange extends PlannedSteps {
  /** The configuration that confirming it would lead to. */
  readonly after: ConfigurationView;
}

const planService = (
  basis: PlanningBasis,
  intent: Extract<Intent, { readonly service: unknown }>,
): Planned => {
  const { service } = intent;
  const existing = basis.view.services.get(service.name);
  const isCreation = intent.intent === IntentKind.CreateService;
  if (!isCreation && existing === undefined) return impossible(`no service ${service.name}`);
  const isTaken =
    isCreation && existing !== undefined && canonicalJson(existing) !== canonicalJson(service);
  if (isTaken) return impossible(`the name ${service.name} is taken`);
  const { maximumReplicaCount } = basis.view.policy;
  if (service.replicaCount > maximumReplicaCount) {
    const asked = `not ${service.replicaCount}`;
    return impossible(`the policy allows a service ${maximumReplicaCount} replicas, ${asked}`);
  }
  const placeable = checkPlaceable(basis, service.size);
  if (isLeft(placeable)) return placeable;
  const isResized =
    existing !== undefined && canonicalJson(existing.size) !== canonicalJson(service.size);
  const warnings = [
    ...placeable.right,
    ...(zonesInUse(basis.view).length === 0 ? ['no availability zone is in use'] : []),
    ...(isResized ? ['tasks that run keep their former size until they are replaced'] : []),
  ];
  const verb = isCreation ? 'create' : 'change';
  const summary = `${verb} service ${service.name} with ${service.replicaCount} replicas`;
  const steps = setRow(basis, serviceKey(service.name), service);
  return planned(summary, steps, { guards: [guardDocument(basis, POLICY_KEY)], warnings });
};

const planRemoval = (basis: PlanningBasis, name: string): Planned =>
  basis.view.services.has(name)
    ? planned(`remove service ${name}`, setRow(basis, serviceKey(name), null))
    : impossible(`no service ${name}`);

const planWithdrawal = (basis: PlanningBasis, zone: string): Planned => {
  const existing = basis.view.zones.get(zone);
  if (existing === undefined) return impossible(`no availability zone ${zone}`);
  const remaining = zonesInUse(basis.view).filter((name) => name !== zone);
  const warnings =
    remaining.length === 0 && isZoneInUse(basis.view, zone)
      ? [`${zone} is the last availability zone in use; every service loses its last zone`]
      : [];
  // Two operators who each take one of the last two zones out would leave none, and neither
  // plan would have warned. With more zones left, withdrawals do not hinder one another.
  const guards = remaining.length === 1 ? remaining.map((name) => zoneKey(name)) : [];
  const document = { ...existing, state: ZoneState.Withdrawn };
  return planned(`withdraw availability zone ${zone}`, setRow(basis, zoneKey(zone), document), {
    guards: guards.map((key) => guardDocument(basis, key)),
    warnings,
  });
};

const planUse = (basis: PlanningBasis, zone: string, region: string): Planned => {
  const isListed = basis.workers.some(({ availabilityZone }) => availabilityZone === zone);
  const isUnknown = basis.workers.length > 0 && !isListed && !basis.view.zones.has(zone);
  if (isUnknown) return impossible(`no worker is listed in an availability zone ${zone}`);
  const warnings = isListed ? [] : [`no worker is listed in availability zone ${zone}`];
  const document = { name: zone, region, state: ZoneState.InUse };
  const steps = setRow(basis, zoneKey(zone), document);
  return planned(`use availability zone ${zone}`, steps, { warnings });
};

const planWorker = (basis: PlanningBasis, id: string, isDraining: boolean): Planned => {
  const isKnown = basis.view.workers.has(id) || basis.workers.some((worker) => worker.id === id);
  if (basis.workers.length > 0 && !isKnown) return impossible(`no worker ${id}`);
  const summary = `${isDraining ? 'drain' : 'return'} worker ${id}`;
  const isReturnOfUndrained = !isDraining && !basis.view.workers.has(id);
  const steps = isReturnOfUndrained ? [] : setRow(basis, workerKey(id), { id, isDraining });
  return planned(summary, steps, isKnown ? {} : { warnings: [`worker ${id} is not listed`] });
};

const planQuota = (
  basis: PlanningBasis,
  { team, limit }: Extract<Intent, { readonly intent: typeof IntentKind.SetQuota }>,
): Planned => {
  const jobs = basis.running.filter(({ jobId }) => jobId.startsWith(`${team}.`));
  const used = addResources(
    ServiceTotals.of(basis.view).ofTeam(team),
    sumResources(jobs.map(({ size }) => size)),
  );
  if (!fitsInto(used, limit)) {
    return impossible(
      `${team} uses ${sizeText(used)}, more than a quota of ${sizeText(limit)}; end some of it first`,
    );
  }
  return planned(`set the quota of ${team}`, setRow(basis, quotaKey(team), { team, limit }));
};

const planRevert = (basis: PlanningBasis, version: number): Planned => {
  const row = basis.rows.get(changeKey(version));
  const parsed = changeRowSchema.safeParse(row?.value);
  if (row === undefined || !parsed.success) return impossible(`no version ${version}`);
  const { documents, summary } = parsed.data;
  if (documents.length === 0) {
    return impossible(`version ${version} (${summary}) changed no configuration to go back to`);
  }
  const changedAgain = documents.find(
    ({ key, after }) =>
      canonicalJson(basis.rows.get(key)?.value ?? null) !== canonicalJson(after) ||
      (after !== null && basis.rows.get(key)?.version !== row.version),
  );
  if (changedAgain !== undefined) {
    const name = changedAgain.key.slice(DOCUMENT_PREFIX.length);
    return impossible(`${name} has been changed again since version ${version}`);
  }
  const steps = documents.flatMap(({ key, before }) => setRow(basis, key, before));
  return planned(`undo version ${version} (${summary})`, steps);
};

const planSteps = (basis: PlanningBasis, intent: Intent): Planned => {
  switch (intent.intent) {
    case IntentKind.CreateService:
    case IntentKind.ChangeService:
      return planService(basis, intent);
    case IntentKind.RemoveService:
      return planRemoval(basis, intent.name);
    case IntentKind.SubmitJob:
      return planJob(basis, intent);
    case IntentKind.CancelJobs:
      return planCancellation(basis, intent.jobIds);
    case IntentKind.WithdrawZone:
      return planWithdrawal(basis, intent.zone);
    case IntentKind.UseZone:
      return planUse(basis, intent.zone, intent.region);
    case IntentKind.DrainWorker:
      return planWorker(basis, intent.workerId, true);
    case IntentKind.ReturnWorker:
      return planWorker(basis, intent.workerId, false);
    case IntentKind.SetQuota:
      return planQuota(basis, intent);
    case IntentKind.SetPolicy:
      return planned(
        'set the policy',
        setRow(basis, POLICY_KEY, { ...basis.view.policy, ...intent.policy }),
      );
    default:
      return planRevert(basis, intent.version);
  }
};

/** The rows that planning an intent has to read besides the view. */
export const rowsToRead = (intent: Intent): readonly string[] => {
  switch (intent.intent) {
    case IntentKind.CreateService:
    case IntentKind.ChangeService:
      return [serviceKey(intent.service.name), quotaKey(intent.service.team)];
    case IntentKind.RemoveService:
      return [serviceKey(intent.name)];
    case IntentKind.SubmitJob:
      return [jobKey(toJobId(intent.team, intent.submissionKey))];
    case IntentKind.CancelJobs:
      return intent.jobIds.map(jobKey);
    case IntentKind.WithdrawZone:
    case IntentKind.UseZone:
      return [zoneKey(intent.zone)];
    case IntentKind.DrainWorker:
    case IntentKind.ReturnWorker:
      return [workerKey(intent.workerId)];
    case IntentKind.SetQuota:
      return [quotaKey(intent.team)];
    case IntentKind.SetPolicy:
      return [POLICY_KEY];
    default:
      return [changeKey(intent.version)];
  }
};

/** Rows that are known to matter only once others were read: those that a version changed. */
export const furtherRowsToRead = (
  intent: Intent,
  rows: ReadonlyMap<string, TableRow>,
): readonly string[] => {
  if (intent.intent !== IntentKind.Revert) return [];
  const change = changeRowSchema.safeParse(rows.get(changeKey(intent.version))?.value);
  return change.success ? change.data.documents.map(({ key }) => key) : [];
};

/** The view after some steps; the very same one when they are of jobs alone. */
const withSteps = (basis: PlanningBasis, steps: readonly PlanStep[]): ConfigurationView => {
  const documents = steps
    .filter(({ key }) => key.startsWith(DOCUMENT_PREFIX))
    .map(({ key, after, baseRowVersion }) => ({ key, value: after, version: baseRowVersion }));
  if (documents.length === 0) return basis.view;
  return withDocuments(basis.view, basis.view.version + 1, documents);
};

/**
 * Keeps teams within their quotas. Two plans that each fit may not fit together, so a plan that
 * makes a team's services larger also rewrites the team's quota row as it is: of two such plans
 * only one is accepted, and the other is made anew.
 */
const withQuotaSteps = (
  basis: PlanningBasis,
  after: ConfigurationView,
): Either<Failure, { readonly steps: readonly PlanStep[]; readonly guards: PlanGuard[] }> => {
  const [before, later] = [ServiceTotals.of(basis.view), ServiceTotals.of(after)];
  const grown = later.teams.filter((team) => !fitsInto(later.ofTeam(team), before.ofTeam(team)));
  const relimited = [...after.quotas.keys()].filter(
    (team) => after.quotas.get(team) !== basis.view.quotas.get(team),
  );
  const over = [...grown, ...relimited].find((team) => {
    const limit = after.quotas.get(team)?.limit;
    return limit !== undefined && !fitsInto(later.ofTeam(team), limit);
  });
  if (over !== undefined) {
    const limit = after.quotas.get(over)?.limit;
    const wanted = sizeText(later.ofTeam(over));
    return impossible(
      `services of ${over} would ask for ${wanted}; the quota is ${limit === undefined ? 'none' : sizeText(limit)}`,
    );
  }
  const limited = grown.filter((team) => basis.view.quotas.has(team));
  const unlimited = grown.filter((team) => !basis.view.quotas.has(team));
  return right({
    steps: limited.map((team) => {
      const document = basis.view.quotas.get(team) ?? null;
      const { baseRowVersion } = guardDocument(basis, quotaKey(team));
      return { key: quotaKey(team), before: document, after: document, baseRowVersion };
    }),
    guards: unlimited.map((team) => guardDocument(basis, quotaKey(team))),
  });
};

const jobTasksOf = (intent: Intent, steps: readonly PlanStep[], ending: readonly WorkRow[]) => {
  const isSubmitted = intent.intent === IntentKind.SubmitJob && steps.length > 0;
  const starting = isSubmitted
    ? [
        {
          taskId: toJobId(intent.team, intent.submissionKey),
          size: intent.size,
          count: intent.taskCount,
        },
      ]
    : [];
  const openCounts = new Map<string, number>();
  ending.forEach(({ jobId, tasks }) =>
    openCounts.set(jobId, (openCounts.get(jobId) ?? 0) + tasks.length),
  );
  const sizes = new Map(ending.map(({ jobId, size }) => [jobId, size]));
  const tasks: JobTasks = {
    starting,
    ending: [...sizes].map(([jobId, size]) => ({
      taskId: jobId,
      size,
      count: openCounts.get(jobId) ?? 0,
    })),
  };
  return tasks;
};

/** The plan for an intent from where things stand, or why it cannot be. */
export const planIntent = (
  basis: PlanningBasis,
  intent: Intent,
): Either<Failure, PlannedChange> => {
  const result = planSteps(basis, intent);
  if (isLeft(result)) return result;
  const { steps } = result.right;
  const after = withSteps(basis, steps);
  const quota = withQuotaSteps(basis, after);
  if (isLeft(quota)) return quota;
  const written = new Set(steps.map(({ key }) => key));
  return right({
    ...result.right,
    steps: [...steps, ...quota.right.steps.filter(({ key }) => !written.has(key))],
    guards: [...result.right.guards, ...quota.right.guards].filter(({ key }) => !written.has(key)),
    after,
  });
};

/**
 * What would follow from a plan. It is worked out apart from the plan, for each of the two takes
 * milliseconds at 500 services, and requests wait meanwhile.
 */
export const effectsOfPlan = (
  basis: PlanningBasis,
  intent: Intent,
  { steps, after }: PlannedChange,
  /** Shards of jobs that would be cancelled, with just the tasks that are left. */
  ending: readonly WorkRow[],
): PlanEffects => planEffects(basis, after, jobTasksOf(intent, steps, ending));
