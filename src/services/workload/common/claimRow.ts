/**
 * Rows that claim an idempotency key before its request is sent. Claims are grouped into
 * generations of a fixed length by the wall clock. An insertion requires that the key is absent
 * from its own, the previous and the next generation. So a key is remembered for at least one
 * generation length, and entries whose clocks differ by less than that length agree.
 */
import { z } from 'zod';

import { hashOf } from '../../../base/common/hash.js';

/** A recorded answer that is small enough to be stored. */
export const recordedAnswerSchema = z.strictObject({
  statusCode: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  bodyBase64: z.string(),
});
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>;

export const ClaimState = {
  /** The key is claimed; its request may or may not have been sent. */
  Claimed: 'claimed',
  /** The request has been answered. */
  Answered: 'answered',
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

export const claimRowSchema = z.strictObject({
  state: z.enum([ClaimState.Claimed, ClaimState.Answered]),
  /** The unique id of the request that made the claim. */
  claimId: z.string(),
  /** Distinguishes a repeated request from a different one with the same key. */
  requestDigest: z.string(),
  /** Null until the request is answered, and if the answer is too large to be stored. */
  answer: recordedAnswerSchema.nullable(),
});
export type ClaimRow = z.infer<typeof claimRowSchema>;

export const CLAIM_PREFIX = 'claim/';
/** The number of parts in which the rows of a generation are read for removal. */
export const CLAIM_PART_COUNT = 4_096;

const GENERATION_DIGITS = 8;
const PART_DIGITS = 3;
const HEXADECIMAL = 16;
const partOf = (text: string): number => hashOf(text) % CLAIM_PART_COUNT;

export const claimGeneration = (wallMs: number, lifetimeMs: number): number =>
  Math.floor(wallMs / lifetimeMs);

export const claimPartPrefix = (generation: number, part: number): string =>
  `${CLAIM_PREFIX}${String(generation).padStart(GENERATION_DIGITS, '0')}/${part
    .toString(HEXADECIMAL)
    .padStart(PART_DIGITS, '0')}/`;

export const claimKey = (generation: number, serviceName: string, key: string): string =>
  `${claimPartPrefix(generation, partOf(`${serviceName}/${key}`))}${serviceName}/${key}`;
