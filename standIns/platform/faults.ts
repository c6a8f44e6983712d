/** Faults that a stand-in of the platform can be told to have. */
import { z } from 'zod';

export const faultsSchema = z.strictObject({
  /** Refuses every call. */
  isDown: z.boolean().default(false),
  delayMs: z.number().nonnegative().default(0),
  /** The share of transactions whose answer is lost after they took effect. */
  lostAnswerRatio: z.number().min(0).max(1).default(0),
});
export type Faults = z.infer<typeof faultsSchema>;

export const NO_FAULTS: Faults = { isDown: false, delayMs: 0, lostAnswerRatio: 0 };
