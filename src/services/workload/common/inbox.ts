/**
 * A cell's inbox row. It tells the cell's owner which rows were added to the cell, so the owner
 * reads only those. Without it the owner would read its whole cell again for each submission.
 */
import { z } from 'zod';

import type { JsonValue } from '../../../base/common/json.js';
import { ABSENT_VERSION, type TableRow } from '../../table/common/table.js';

/** The rows added by one transaction. */
const arrivalSchema = z.object({
  /** The version of the inbox row before the transaction. */
  afterVersion: z.number().int().nonnegative(),
  keys: z.array(z.string()),
});

/** Writers of the row may add other fields. */
const inboxRowSchema = z.object({ arrivals: z.array(arrivalSchema).optional() });

/**
 * The maximum number of arrivals in the row. The owner reads the row twice a second, and on average
 * eight jobs a minute arrive, so sixteen arrivals cover bursts of 30 a second. Beyond that the
 * owner reads its whole cell.
 */
const MAXIMUM_ARRIVAL_COUNT = 16;

/** The maximum number of keys in the row; bounds its size during a burst of submissions. */
const MAXIMUM_KEY_COUNT = 128;

const arrivalsIn = (row: TableRow | undefined): readonly z.infer<typeof arrivalSchema>[] => {
  const parsed = inboxRowSchema.safeParse(row?.value);
  return parsed.success ? (parsed.data.arrivals ?? []) : [];
};

/**
 * Returns the next value of the inbox row. It must be written on the condition that the row is
 * unchanged. Otherwise two concurrent writers would lose the arrivals of one of them, and an
 * accepted job would wait until the whole cell is read for another reason.
 */
export const nextInboxValue = (
  row: TableRow | undefined,
  operationId: string,
  keys: readonly string[],
): JsonValue => {
  const afterVersion = row?.version ?? ABSENT_VERSION;
  const arrivals = [...arrivalsIn(row), { afterVersion, keys: [...keys] }].slice(
    -MAXIMUM_ARRIVAL_COUNT,
  );
  const keyCount = arrivals.reduce((count, arrival) => count + arrival.keys.length, 0);
  return keyCount > MAXIMUM_KEY_COUNT ? { operationId } : { operationId, arrivals };
};

/**
 * Returns the keys of all rows that were added after `knownVersion` of the inbox. Returns undefined
 * if the row does not contain them all: too many rows were added, or a writer named no rows. The
 * write of such a writer breaks the chain, because the next arrival names the version that this
 * write created and not one that the owner knows.
 */
export const arrivalsSince = (
  row: TableRow | undefined,
  knownVersion: number,
): readonly string[] | undefined => {
  const arrivals = arrivalsIn(row);
  const first = arrivals.findIndex(({ afterVersion }) => afterVersion === knownVersion);
  if (first < 0) return undefined;
  return arrivals.slice(first).flatMap(({ keys }) => keys);
};
