/** Writes accepted changes directly to a table, as a confirmed plan does. */
import type { JsonValue } from '../../../base/common/json.js';
import type { TableStandIn } from '../../../../standIns/platform/tableStandIn.js';
import { changeKey, VERSION_KEY } from '../common/documents.js';

export type Documents = Readonly<Record<string, JsonValue>>;

export const acceptChange = (
  table: TableStandIn,
  version: number,
  documents: Documents,
  documentsInChange: Documents = documents,
): void => {
  const change = {
    version,
    planId: `plan-${version}`,
    author: 'ann',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    summary: 'a change',
    keys: Object.keys(documents),
    documents: Object.entries(documentsInChange).map(([key, after]) => ({
      key,
      before: null,
      after,
    })),
  };
  table.transact({
    operationId: `operation-${version}`,
    conditions: [],
    writes: [
      { key: VERSION_KEY, value: { version } },
      { key: changeKey(version), value: change },
      ...Object.entries(documents).map(([key, value]) => ({ key, value })),
    ],
  });
};
