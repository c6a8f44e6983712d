/** What the users' store accepts in one transaction. */
import type { Transaction } from '../../src/services/table/common/table.js';

const MAXIMUM_ENTRIES = 100;
const MAXIMUM_CALL_BYTES = 1_000_000;

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

export const exceedsLimits = (
  { conditions, writes, operationId }: Transaction,
  { maximumRowBytes }: { readonly maximumRowBytes: number },
): boolean => {
  const sizes = writes.map(({ value }) =>
    value === null ? 0 : bytesOf({ id: operationId, value }),
  );
  const inBase64 = sizes.reduce((sum, size) => sum + Math.ceil(size / 3) * 4, 0);
  const names = [...conditions, ...writes].map(({ key }) => bytesOf({ Table: '', part: '', key }));
  const callBytes = names.reduce((sum, size) => sum + size, inBase64);
  return (
    conditions.length + writes.length > MAXIMUM_ENTRIES ||
    callBytes > MAXIMUM_CALL_BYTES ||
    sizes.some((size) => size > maximumRowBytes)
  );
};
