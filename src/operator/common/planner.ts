/** Derives a plan from an intent and the current configuration. Nothing here writes. */
import { type Either, isLeft, right } from 'fp-ts/lib/Either.js';

import { canonicalJson } from '../../base/common/json.js';
import {
  type ConfigurationView,
  isZoneInUse,
  withDocuments,
  zonesInUse,
} from '../../services/configuration/common/configurationView.js';
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
} from '../../services/configuration/common/documents.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import { addResources, fitsInto, sumResources } from '../../services/worker/common/resources.js';
import type { WorkRow } from '../../services/workload/common/workRows.js';
import { type Intent, IntentKind, type JobTerms } from './intent.js';
import { jobChanges, jobIdOfTerms } from './jobChanges.js';
import { planCancellation, planJob } from './jobPlanning.js';
import type { PlanEffects, PlanStep } from './plan.js';
import { planEffects } from './planEffects.js';
import {
  guardDocument,
  impossible,
  planned,
  type Planned,
  type PlannedSteps,
  type PlanningBasis,
  setRow,
} from './planningBasis.js';
import { withQuotaSteps } from './quotaSteps.js';
import { ServiceTotals } from './serviceTotals.js';
import { checkPlaceable, sizeText } from './sizeChecks.js';

/** The steps of a plan and the configuration that results from them. */
export interface PlannedChange extends PlannedSteps {
  /** The configuration after the plan has been confirmed. */
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
  const isNameTaken =
    isCreation && existing !== undefined && canonicalJson(existing) !== canonicalJson(service);
  if (isNameTaken) return impossible(`the name ${service.name} is taken`);
  const { maximumReplicaCount } = basis.view.policy;
  if (service.replicaCount > maximumReplicaCount) {
    const requested = `not ${service.replicaCount}`;
    return impossible(`the policy allows a service ${maximumReplicaCount} replicas, ${requested}`);
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

const planServiceRemoval = (basis: PlanningBasis, name: string): Planned =>
  basis.view.services.has(name)
    ? planned(`remove service ${name}`, setRow(basis, serviceKey(name), null))
    : impossible(`no service ${name}`);

const planZoneWithdrawal = (basis: PlanningBasis, zone: string): Planned => {
  const existing = basis.view.zones.get(zone);
  if (existing === undefined) return impossible(`no availability zone ${zone}`);
  const remaining = zonesInUse(basis.view).filter((name) => name !== zone);
  const warnings =
    remaining.length === 0 && isZoneInUse(basis.view, zone)
      ? [`${zone} is the last availability zone in use; every service loses its last zone`]
      : [];
  // If two operators each withdraw one of the last two zones, no zone is left, although neither
  // plan contained a warning. A guard on the other zone makes the second plan stale. With more
  // zones left there is no guard, so that withdrawals do not conflict.
  const guards = remaining.length === 1 ? remaining.map((name) => zoneKey(name)) : [];
  const document = { ...existing, state: ZoneState.Withdrawn };
  return planned(`withdraw availability zone ${zone}`, setRow(basis, zoneKey(zone), document), {
    guards: guards.map((key) => guardDocument(basis, key)),
    warnings,
  });
};

const planZoneUse = (basis: PlanningBasis, zone: string, region: string): Planned => {
  const isListed = basis.workers.some(({ availabilityZone }) => availabilityZone === zone);
  const isUnknown = basis.workers.length > 0 && !isListed && !basis.view.zones.has(zone);
  if (isUnknown) return impossible(`no worker is listed in an availability zone ${zone}`);
  const warnings = isListed ? [] : [`no worker is listed in availability zone ${zone}`];
  const document = { name: zone, region, state: ZoneState.InUse };
  const steps = setRow(basis, zoneKey(zone), document);
  return planned(`use availability zone ${zone}`, steps, { warnings });
};

const planWorkerDrain = (basis: PlanningBasis, id: string, isDraining: boolean): Planned => {
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

/** Plans jobs that are submitted together. If one of them is refused, all are. */
const planJobs = (basis: PlanningBasis, jobs: readonly JobTerms[]): Planned => {
  const plans = jobs.map((terms) => planJob(basis, { intent: IntentKind.SubmitJob, ...terms }));
  const refusedIndex = plans.findIndex(isLeft);
  const refused = plans[refusedIndex];
  if (refused !== undefined && isLeft(refused)) {
    return impossible(`${jobIdOfTerms(jobs[refusedIndex] as JobTerms)}: ${refused.left.message}`);
  }
  const jobPlans = plans.flatMap((plan) => (isLeft(plan) ? [] : [plan.right]));
  const guards = new Map(
    jobPlans.flatMap((part) => part.guards).map((guard) => [guard.key, guard]),
  );
  const taskCount = jobs.reduce((sum, terms) => sum + terms.taskCount, 0);
  return planned(
    `submit ${jobs.length} jobs of ${taskCount} tasks in all`,
    jobPlans.flatMap(({ steps }) => steps),
    {
      guards: [...guards.values()],
      notifiedCells: [...new Set(jobPlans.flatMap((part) => part.notifiedCells))],
      warnings: [...new Set(jobPlans.flatMap((part) => part.warnings))],
    },
  );
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
      return planServiceRemoval(basis, intent.name);
    case IntentKind.SubmitJob:
      return planJob(basis, intent);
    case IntentKind.SubmitJobs:
      return planJobs(basis, intent.jobs);
    case IntentKind.CancelJobs:
      return planCancellation(basis, intent.jobIds);
    case IntentKind.WithdrawZone:
      return planZoneWithdrawal(basis, intent.zone);
    case IntentKind.UseZone:
      return planZoneUse(basis, intent.zone, intent.region);
    case IntentKind.DrainWorker:
      return planWorkerDrain(basis, intent.workerId, true);
    case IntentKind.ReturnWorker:
      return planWorkerDrain(basis, intent.workerId, false);
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

/** The view after some steps. Returns the same object if the steps change only jobs. */
const withSteps = (basis: PlanningBasis, steps: readonly PlanStep[]): ConfigurationView => {
  const documents = steps
    .filter(({ key }) => key.startsWith(DOCUMENT_PREFIX))
    .map(({ key, after, baseRowVersion }) => ({ key, value: after, version: baseRowVersion }));
  if (documents.length === 0) return basis.view;
  return withDocuments(basis.view, basis.view.version + 1, documents);
};

/** Plans an intent. Fails with `IntentImpossible` and the reason if it cannot be carried out. */
export const planIntent = (
  basis: PlanningBasis,
  intent: Intent,
): Either<Failure, PlannedChange> => {
  const result = planSteps(basis, intent);
  if (isLeft(result)) return result;
  const { steps } = result.right;
  const after = withSteps(basis, steps);
  const quotaChanges = withQuotaSteps(basis, after);
  if (isLeft(quotaChanges)) return quotaChanges;
  const writtenKeys = new Set(steps.map(({ key }) => key));
  return right({
    ...result.right,
    steps: [...steps, ...quotaChanges.right.steps.filter(({ key }) => !writtenKeys.has(key))],
    guards: [...result.right.guards, ...quotaChanges.right.guards].filter(
      ({ key }) => !writtenKeys.has(key),
    ),
    after,
  });
};

/**
 * The effects of a plan. They are computed separately from the plan, because each computation
 * blocks the event loop for milliseconds at 500 services, and the caller can yield in between.
 */
export const effectsOfPlan = (
  basis: PlanningBasis,
  intent: Intent,
  { steps, after }: PlannedChange,
  /** Shards of the jobs to cancel, with only the tasks that have not ended. */
  ending: readonly WorkRow[],
): PlanEffects => {
  const zones = [...after.zones.keys()];
  return planEffects(basis, after, jobChanges(intent, steps, zones, ending));
};
