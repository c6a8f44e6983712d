/** Works out the steps of a plan from an intent and what is in force. Nothing here writes. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { canonicalJson, type JsonValue } from '../../base/common/json.js';
import {
  type ConfigurationView,
  zonesInUse,
} from '../../platform/configuration/common/configurationView.js';
import {
  quotaKey,
  serviceKey,
  workerKey,
  zoneKey,
  ZoneState,
} from '../../platform/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import { ABSENT_VERSION, type TableRow } from '../../platform/table/common/table.js';
import {
  type BatchTask,
  BatchTaskState,
  cancellationKey,
  jobKey,
  type JobRow,
  toJobId,
  toShardId,
  workKey,
  type WorkRow,
} from '../../platform/work/common/workRows.js';
import { type Intent, IntentKind, type SubmitJobIntent } from './intent.js';
import type { PlanStep } from './plan.js';

/** What a plan is made from: one snapshot of the table. */
export interface PlanningBasis {
  readonly view: ConfigurationView;
  /** The rows that the intent names, by key, as far as they exist. */
  readonly rows: ReadonlyMap<string, TableRow>;
  readonly planId: string;
}

/** The deciding part of a plan. */
export interface PlannedChange {
  readonly summary: string;
  readonly steps: readonly PlanStep[];
  readonly notifiedCells: readonly string[];
  readonly warnings: readonly string[];
}

type Planned = Either<Failure, PlannedChange>;

const impossible = (message: string): Planned => left(failure(ErrorKind.IntentImpossible, message));

const change = (
  summary: string,
  steps: readonly PlanStep[],
  notifiedCells: readonly string[] = [],
  warnings: readonly string[] = [],
): Planned => right({ summary, steps, notifiedCells, warnings });

/** A step that sets a row, or none when the row already has that value. */
const setRow = (basis: PlanningBasis, key: string, after: JsonValue): readonly PlanStep[] => {
  const row = basis.rows.get(key);
  const before = row?.value ?? null;
  if (canonicalJson(before) === canonicalJson(after)) return [];
  return [{ key, before, after, baseRowVersion: row?.version ?? ABSENT_VERSION }];
};

const planService = (
  basis: PlanningBasis,
  intent: Intent & {
    readonly intent: typeof IntentKind.CreateService | typeof IntentKind.ChangeService;
  },
): Planned => {
  const { service } = intent;
  const existing = basis.view.services.get(service.name);
  const isCreation = intent.intent === IntentKind.CreateService;
  if (!isCreation && existing === undefined) return impossible(`no service ${service.name}`);
  const isTaken =
    isCreation && existing !== undefined && canonicalJson(existing) !== canonicalJson(service);
  if (isTaken) return impossible(`the name ${service.name} is taken`);
  const warnings = zonesInUse(basis.view).length === 0 ? ['no availability zone is in use'] : [];
  const verb = isCreation ? 'create' : 'change';
  const summary = `${verb} service ${service.name} with ${service.replicaCount} replicas`;
  return change(summary, setRow(basis, serviceKey(service.name), service), [], warnings);
};

const planRemoval = (basis: PlanningBasis, name: string): Planned =>
  basis.view.services.has(name)
    ? change(`remove service ${name}`, setRow(basis, serviceKey(name), null))
    : impossible(`no service ${name}`);

const newTask = (index: number): BatchTask => ({
  index,
  state: BatchTaskState.Queued,
  attempt: 1,
  checkpoint: null,
  evictionCount: 0,
  failureCount: 0,
});

/** Deals a job's tasks out to the zones in use, each of which gets a shard. */
const toShards = (intent: SubmitJobIntent, jobId: string, zones: readonly string[]): WorkRow[] =>
  zones
    .map((zone, zoneIndex): WorkRow => {
      const indexes = Array.from({ length: intent.taskCount }, (_, index) => index);
      const own = indexes.filter((index) => index % zones.length === zoneIndex);
      return {
        shardId: toShardId(jobId, zone),
        jobId,
        team: intent.team,
        size: intent.size,
        urgency: intent.urgency,
        workMs: intent.workMs,
        tasks: own.map(newTask),
      };
    })
    .filter((shard) => shard.tasks.length > 0);

const planJob = (basis: PlanningBasis, intent: SubmitJobIntent): Planned => {
  const jobId = toJobId(intent.team, intent.submissionKey);
  const row: JobRow = {
    jobId,
    team: intent.team,
    submissionKey: intent.submissionKey,
    taskCount: intent.taskCount,
    size: intent.size,
    urgency: intent.urgency,
    workMs: intent.workMs,
  };
  const existing = basis.rows.get(jobKey(jobId));
  if (existing !== undefined) {
    const isSame = canonicalJson(existing.value) === canonicalJson(row);
    if (isSame) return change(`job ${jobId} has been submitted before`, []);
    return impossible(`job ${jobId} was submitted with other contents`);
  }
  const zones = zonesInUse(basis.view);
  if (zones.length === 0) return impossible('no availability zone is in use');
  const shards = toShards(intent, jobId, zones);
  const steps = [
    ...setRow(basis, jobKey(jobId), row),
    ...shards.flatMap((shard, index) =>
      setRow(basis, workKey(zones[index] as string, shard.shardId), shard),
    ),
  ];
  return change(`submit job ${jobId} of ${intent.taskCount} tasks`, steps, zones);
};

const planCancellation = (basis: PlanningBasis, jobIds: readonly string[]): Planned => {
  const missing = jobIds.filter((jobId) => !basis.rows.has(jobKey(jobId)));
  if (missing.length > 0) return impossible(`no such jobs: ${missing.slice(0, 5).join(', ')}`);
  // Every cell gets the same row, for shards may move between cells.
  const zones = [...basis.view.zones.keys()];
  const steps = zones.flatMap((zone) =>
    setRow(basis, cancellationKey(zone, basis.planId), { jobIds }),
  );
  return change(`cancel ${jobIds.length} jobs`, steps, zones);
};

const planZone = (
  basis: PlanningBasis,
  zone: string,
  state: ZoneState,
  region: string | undefined,
): Planned => {
  const existing = basis.view.zones.get(zone);
  const knownRegion = region ?? existing?.region;
  if (knownRegion === undefined) return impossible(`no availability zone ${zone}`);
  const isLast =
    state === ZoneState.Withdrawn && zonesInUse(basis.view).every((name) => name === zone);
  const warnings = isLast ? [`${zone} is the last availability zone in use`] : [];
  const verb = state === ZoneState.InUse ? 'use' : 'withdraw';
  const document = { name: zone, region: knownRegion, state };
  const summary = `${verb} availability zone ${zone}`;
  return change(summary, setRow(basis, zoneKey(zone), document), [], warnings);
};

const planWorker = (basis: PlanningBasis, id: string, isDraining: boolean): Planned => {
  const summary = `${isDraining ? 'drain' : 'return'} worker ${id}`;
  return change(summary, setRow(basis, workerKey(id), { id, isDraining }));
};

/** The rows that planning an intent has to read. */
export const rowsToRead = (intent: Intent): readonly string[] => {
  switch (intent.intent) {
    case IntentKind.SubmitJob:
      return [jobKey(toJobId(intent.team, intent.submissionKey))];
    case IntentKind.CancelJobs:
      return intent.jobIds.map(jobKey);
    default:
      return [];
  }
};

/** The steps that an intent takes from where things stand, or why it cannot be. */
export const planIntent = (basis: PlanningBasis, intent: Intent): Planned => {
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
      return planZone(basis, intent.zone, ZoneState.Withdrawn, undefined);
    case IntentKind.UseZone:
      return planZone(basis, intent.zone, ZoneState.InUse, intent.region);
    case IntentKind.DrainWorker:
      return planWorker(basis, intent.workerId, true);
    case IntentKind.ReturnWorker:
      return planWorker(basis, intent.workerId, false);
    default: {
      const { team, limit } = intent;
      return change(`set the quota of ${team}`, setRow(basis, quotaKey(team), { team, limit }));
    }
  }
};
