/** The JSON messages between a client of the table and the table service. */
import { z } from 'zod';

import type { JsonValue } from '../../../base/common/json.js';
import { TransactionOutcome } from './table.js';

/** A parsed value is JSON. To check that again would exhaust the stack for a deeply nested one. */
const jsonSchema = z.custom<JsonValue>((value) => value !== undefined);

export const readRequestSchema = z.strictObject({
  keys: z.array(z.string()),
  prefixes: z.array(z.string()),
});

export const readResultSchema = z.strictObject({
  rows: z.array(
    z.strictObject({
      key: z.string(),
      version: z.number().int().positive(),
      value: jsonSchema,
      operationId: z.string(),
    }),
  ),
});

export const transactionSchema = z.strictObject({
  operationId: z.string().min(1),
  conditions: z.array(
    z.strictObject({ key: z.string().min(1), version: z.number().int().nonnegative() }),
  ),
  writes: z.array(z.strictObject({ key: z.string().min(1), value: jsonSchema })),
});

export const transactionResultSchema = z.strictObject({
  outcome: z.enum([TransactionOutcome.Committed, TransactionOutcome.Conflict]),
  version: z.number().int().nonnegative(),
});
