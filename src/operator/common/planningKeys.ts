/** Lists the rows of the table that planning an intent needs. */
import {
  changeKey,
  changeRowSchema,
  POLICY_KEY,
  quotaKey,
  serviceKey,
  workerKey,
  zoneKey,
} from '../../services/configuration/common/documents.js';
import type { TableRow } from '../../services/table/common/table.js';
import { jobKey } from '../../services/workload/common/workRows.js';
import { type Intent, IntentKind } from './intent.js';
import { jobIdOfTerms, submittedJobs } from './jobChanges.js';

/** Keys of the rows that planning an intent reads in addition to the configuration view. */
export const keysToRead = (intent: Intent): readonly string[] => {
  switch (intent.intent) {
    case IntentKind.CreateService:
    case IntentKind.ChangeService:
      return [serviceKey(intent.service.name), quotaKey(intent.service.team)];
    case IntentKind.RemoveService:
      return [serviceKey(intent.name)];
    case IntentKind.SubmitJob:
    case IntentKind.SubmitJobs:
      return submittedJobs(intent).map((terms) => jobKey(jobIdOfTerms(terms)));
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

/** Keys that are known only after reading other rows: the documents that a version changed. */
export const furtherKeysToRead = (
  intent: Intent,
  rows: ReadonlyMap<string, TableRow>,
): readonly string[] => {
  if (intent.intent !== IntentKind.Revert) return [];
  const change = changeRowSchema.safeParse(rows.get(changeKey(intent.version))?.value);
  return change.success ? change.data.documents.map(({ key }) => key) : [];
};
