/** Faults that can be injected into the stand-in for the platform. */
import { z } from 'zod';

export const faultsSchema = z.strictObject({
  /** Rejects every call. */
  isDown: z.boolean().default(false),
  delayMs: z.number().nonnegative().default(0),
  /** The ratio of transactions that take effect but whose answer is lost. */
  lostAnswerRatio: z.number().min(0).max(1).default(0),
});
export type Faults = z.infer<typeof faultsSchema>;

export const NO_FAULTS: Faults = { isDown: false, delayMs: 0, lostAnswerRatio: 0 };
