/** The resources that a task needs or that an instance has. */
import { z } from 'zod';

export const resourcesSchema = z.strictObject({
  processorMillis: z.number().int().nonnegative(),
  memoryBytes: z.number().int().nonnegative(),
  acceleratorCount: z.number().int().nonnegative(),
});

/** Processors are counted in thousandths of a processor. */
export type Resources = z.infer<typeof resourcesSchema>;

export const NO_RESOURCES: Resources = {
  processorMillis: 0,
  memoryBytes: 0,
  acceleratorCount: 0,
};

export const addResources = (left: Resources, right: Resources): Resources => ({
  processorMillis: left.processorMillis + right.processorMillis,
  memoryBytes: left.memoryBytes + right.memoryBytes,
  acceleratorCount: left.acceleratorCount + right.acceleratorCount,
});

export const subtractResources = (left: Resources, right: Resources): Resources => ({
  processorMillis: left.processorMillis - right.processorMillis,
  memoryBytes: left.memoryBytes - right.memoryBytes,
  acceleratorCount: left.acceleratorCount - right.acceleratorCount,
});

export const sumResources = (sizes: readonly Resources[]): Resources =>
  sizes.reduce(addResources, NO_RESOURCES);

/** Whether `size` fits into `free` in every dimension. */
export const fitsInto = (size: Resources, free: Resources): boolean =>
  size.processorMillis <= free.processorMillis &&
  size.memoryBytes <= free.memoryBytes &&
  size.acceleratorCount <= free.acceleratorCount;

const combined = (
  left: Resources,
  right: Resources,
  combine: (one: number, other: number) => number,
): Resources => ({
  processorMillis: combine(left.processorMillis, right.processorMillis),
  memoryBytes: combine(left.memoryBytes, right.memoryBytes),
  acceleratorCount: combine(left.acceleratorCount, right.acceleratorCount),
});

/** Returns the larger amount in each dimension. */
export const maximumResources = (left: Resources, right: Resources): Resources =>
  combined(left, right, Math.max);

/** Returns `whole` minus `taken`, at least zero in each dimension. */
export const remainingResources = (whole: Resources, taken: Resources): Resources =>
  combined(whole, taken, (one, other) => Math.max(0, one - other));

export const multipliedResources = (size: Resources, count: number): Resources => ({
  processorMillis: size.processorMillis * count,
  memoryBytes: size.memoryBytes * count,
  acceleratorCount: size.acceleratorCount * count,
});
