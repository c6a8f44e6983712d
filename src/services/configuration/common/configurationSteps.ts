/** Decides how a daemon updates its configuration after a read of the table. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import type { TableRow } from '../../table/common/table.js';
import { type ConfigurationView, type DocumentRow, withDocuments } from './configurationView.js';
import { changeKey, changeRowSchema } from './documents.js';

/**
 * The maximum time until an accepted change is in force on a daemon that can reach the table. It
 * covers `platform.configurationIntervalMs` and three calls of `platform.callTimeoutMs` each: a
 * read answered just before the change was accepted, the interval, then the reads of the version
 * and of the changes.
 */
export const MAXIMUM_CONFIGURATION_LAG_MS = 3_000;

/** A daemon that is further behind reads all documents instead of the changes. */
const MAXIMUM_FOLLOWED_CHANGES = 200;

export const VersionStep = {
  /** The version in force is the newest. */
  Confirm: 'confirm',
  /** A peer announced a newer version than the table returned: a stale read or a false hint. */
  Verify: 'prove',
  /** The table returned an older version than the one in force. */
  StaleRead: 'old-read',
  FollowChanges: 'follow-changes',
  LoadAll: 'load-all',
} as const;
export type VersionStep = (typeof VersionStep)[keyof typeof VersionStep];

/** Selects the next step after the table has returned a version. */
export const selectVersionStep = (
  current: ConfigurationView | undefined,
  readVersion: number,
  hintedVersion: number,
): VersionStep => {
  if (current === undefined) return VersionStep.LoadAll;
  if (readVersion < current.version) return VersionStep.StaleRead;
  if (readVersion > current.version + MAXIMUM_FOLLOWED_CHANGES) return VersionStep.LoadAll;
  if (readVersion > current.version) return VersionStep.FollowChanges;
  return hintedVersion > readVersion ? VersionStep.Verify : VersionStep.Confirm;
};

/** Returns the keys of the changes between two versions, the older version excluded. */
export const changeKeysBetween = (fromVersion: number, toVersion: number): readonly string[] =>
  Array.from({ length: toVersion - fromVersion }, (_, index) => changeKey(fromVersion + index + 1));

/**
 * Applies all changes up to `toVersion`. A change is written in the same transaction as the
 * documents that it names, so its row version is also theirs. Returns `left` with the reason when
 * a change is missing or malformed. No change is applied in that case, because a skipped change
 * would leave an object that never appears or never disappears.
 */
export const followChanges = (
  current: ConfigurationView,
  toVersion: number,
  rows: readonly TableRow[],
): Either<string, ConfigurationView> => {
  const byKey = new Map(rows.map((row) => [row.key, row]));
  const documents: DocumentRow[] = [];
  const malformedKey = changeKeysBetween(current.version, toVersion).find((key) => {
    const row = byKey.get(key);
    const parsed = changeRowSchema.safeParse(row?.value);
    if (row === undefined || !parsed.success || changeKey(parsed.data.version) !== key) return true;
    parsed.data.documents.forEach((change) =>
      documents.push({ key: change.key, value: change.after, version: row.version }),
    );
    return false;
  });
  if (malformedKey !== undefined) return left(`${malformedKey} is missing or malformed`);
  try {
    return right(withDocuments(current, toVersion, documents));
  } catch (error) {
    return left(`a document up to version ${toVersion} is malformed: ${(error as Error).message}`);
  }
};
