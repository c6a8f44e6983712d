/** An immutable picture of the configuration at one version. */
import type { z } from 'zod';

import type { TableRow } from '../../table/common/table.js';
import {
  QUOTA_PREFIX,
  type QuotaDocument,
  quotaDocumentSchema,
  SERVICE_PREFIX,
  type ServiceDocument,
  serviceDocumentSchema,
  VERSION_KEY,
  versionRowSchema,
  WORKER_PREFIX,
  type WorkerDocument,
  workerDocumentSchema,
  ZONE_PREFIX,
  type ZoneDocument,
  zoneDocumentSchema,
  zoneKey,
  ZoneState,
} from './documents.js';

export interface ConfigurationView {
  readonly version: number;
  readonly services: ReadonlyMap<string, ServiceDocument>;
  readonly zones: ReadonlyMap<string, ZoneDocument>;
  readonly workers: ReadonlyMap<string, WorkerDocument>;
  readonly quotas: ReadonlyMap<string, QuotaDocument>;
  /** Row versions by key; conditions of transactions name them. */
  readonly rowVersions: ReadonlyMap<string, number>;
}

export const EMPTY_CONFIGURATION: ConfigurationView = {
  version: 0,
  services: new Map(),
  zones: new Map(),
  workers: new Map(),
  quotas: new Map(),
  rowVersions: new Map(),
};

const documentsUnder = <Document>(
  rows: readonly TableRow[],
  prefix: string,
  schema: z.ZodType<Document>,
): ReadonlyMap<string, Document> =>
  new Map(
    rows
      .filter((row) => row.key.startsWith(prefix))
      .map((row) => [row.key.slice(prefix.length), schema.parse(row.value)]),
  );

/** Builds the view from the version row and all document rows of one snapshot. */
export const toConfigurationView = (rows: readonly TableRow[]): ConfigurationView => {
  const versionRow = rows.find((row) => row.key === VERSION_KEY);
  return {
    version: versionRow === undefined ? 0 : versionRowSchema.parse(versionRow.value).version,
    services: documentsUnder(rows, SERVICE_PREFIX, serviceDocumentSchema),
    zones: documentsUnder(rows, ZONE_PREFIX, zoneDocumentSchema),
    workers: documentsUnder(rows, WORKER_PREFIX, workerDocumentSchema),
    quotas: documentsUnder(rows, QUOTA_PREFIX, quotaDocumentSchema),
    rowVersions: new Map(rows.map((row) => [row.key, row.version])),
  };
};

/** False also for a zone that no plan has brought into use yet. */
export const isZoneInUse = (view: ConfigurationView, zone: string): boolean =>
  view.zones.get(zone)?.state === ZoneState.InUse;

/** Names of the zones in use, in a fixed order. */
export const zonesInUse = (view: ConfigurationView): readonly string[] =>
  [...view.zones.keys()].filter((zone) => isZoneInUse(view, zone)).sort();

/** The version of a zone's row; zero when no plan has named the zone yet. */
export const zoneRowVersion = (view: ConfigurationView, zone: string): number =>
  view.rowVersions.get(zoneKey(zone)) ?? 0;

/**
 * Chooses between the view in force and one just read. A store that answers an old read, or
 * answers that overtake one another, would otherwise bring a withdrawn zone back to life.
 */
export const newerView = (
  current: ConfigurationView | undefined,
  read: ConfigurationView,
): ConfigurationView => (current !== undefined && read.version < current.version ? current : read);
