/** An immutable snapshot of the configuration at one version. */
import type { JsonValue } from '../../../base/common/json.js';
import type { TableRow } from '../../table/common/table.js';
import {
  DEFAULT_POLICY,
  parsePolicy,
  POLICY_KEY,
  type PolicyDocument,
  QUOTA_PREFIX,
  type QuotaDocument,
  quotaDocumentSchema,
  SERVICE_PREFIX,
  type ServiceDocument,
  serviceDocumentSchema,
  toVersion,
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
  readonly policy: PolicyDocument;
  /** Row versions by key, for the conditions of transactions. */
  readonly rowVersions: ReadonlyMap<string, number>;
}

export const EMPTY_CONFIGURATION: ConfigurationView = {
  version: 0,
  services: new Map(),
  zones: new Map(),
  workers: new Map(),
  quotas: new Map(),
  policy: DEFAULT_POLICY,
  rowVersions: new Map(),
};

/** The key prefix, the view's field and the schema of each kind of document. */
const COLLECTIONS = [
  { prefix: SERVICE_PREFIX, member: 'services', schema: serviceDocumentSchema },
  { prefix: ZONE_PREFIX, member: 'zones', schema: zoneDocumentSchema },
  { prefix: WORKER_PREFIX, member: 'workers', schema: workerDocumentSchema },
  { prefix: QUOTA_PREFIX, member: 'quotas', schema: quotaDocumentSchema },
] as const;

/** One document as stored in the table. */
export interface DocumentRow {
  readonly key: string;
  /** Null when the document has been removed. */
  readonly value: JsonValue;
  readonly version: number;
}

/**
 * Returns the view with some documents replaced. Only those documents are parsed, so the cost of
 * applying a change depends on the size of the change and not on that of the configuration.
 * @throws {z.ZodError} when a document does not match the schema of its kind
 */
export const withDocuments = (
  view: ConfigurationView,
  version: number,
  rows: readonly DocumentRow[],
): ConfigurationView => {
  const rowVersions = new Map(view.rowVersions);
  const next: Record<string, unknown> = { ...view, version, rowVersions };
  COLLECTIONS.forEach(({ prefix, member, schema }) => {
    const own = rows.filter((row) => row.key.startsWith(prefix));
    if (own.length === 0) return;
    const documents = new Map<string, unknown>(view[member]);
    own.forEach(({ key, value }) => {
      if (value === null) documents.delete(key.slice(prefix.length));
      else documents.set(key.slice(prefix.length), schema.parse(value));
    });
    next[member] = documents;
  });
  rows.forEach(({ key, value, version: rowVersion }) => {
    if (key === POLICY_KEY) {
      next.policy = value === null ? DEFAULT_POLICY : parsePolicy(value);
    }
    if (value === null) rowVersions.delete(key);
    else rowVersions.set(key, rowVersion);
  });
  return next as unknown as ConfigurationView;
};

/**
 * Builds the view from the version row and all document rows of one snapshot.
 * @throws {z.ZodError} when a row does not match the schema of its kind
 */
export const toConfigurationView = (rows: readonly TableRow[]): ConfigurationView =>
  withDocuments(EMPTY_CONFIGURATION, toVersion(rows), rows);

/** Also false for a zone that no plan has brought into use yet. */
export const isZoneInUse = (view: ConfigurationView, zone: string): boolean =>
  view.zones.get(zone)?.state === ZoneState.InUse;

/** The names of the zones in use, sorted. */
export const zonesInUse = (view: ConfigurationView): readonly string[] =>
  [...view.zones.keys()].filter((zone) => isZoneInUse(view, zone)).sort();

/** The version of a zone's row; zero if no plan has named the zone yet. */
export const zoneRowVersion = (view: ConfigurationView, zone: string): number =>
  view.rowVersions.get(zoneKey(zone)) ?? 0;
