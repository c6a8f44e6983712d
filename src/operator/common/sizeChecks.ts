/** Checks task sizes against the capacity of the workers. */
import { type Either, right } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import { isZoneInUse } from '../../services/configuration/common/configurationView.js';
import { fitsInto, type Resources } from '../../services/worker/common/resources.js';
import { impossible, type PlanningBasis } from './planningBasis.js';

const MEBIBYTE = 1_048_576;
const MILLIS_PER_PROCESSOR = 1_000;

/** Formats a size for operators. */
export const sizeText = ({ processorMillis, memoryBytes, acceleratorCount }: Resources): string => {
  const processors = `${processorMillis / MILLIS_PER_PROCESSOR} processors`;
  const memory = `${Math.round(memoryBytes / MEBIBYTE)} MiB`;
  const accelerators = acceleratorCount === 0 ? '' : `, ${acceleratorCount} accelerators`;
  return `${processors}, ${memory}${accelerators}`;
};

/**
 * Refuses a size that does not fit on any worker: such a task would wait forever, and its job
 * would never end. Workers that are draining or leaving count too, because they or similar ones
 * may return. If the platform's instance list has not been read, nothing is refused and the plan
 * gets a warning instead. Returns the warnings.
 */
export const checkPlaceable = (
  basis: PlanningBasis,
  size: Resources,
): Either<Failure, readonly string[]> => {
  if (basis.workers.length === 0) {
    return right(['the list of instances is not known, so sizes were not checked']);
  }
  const usable = basis.workers.filter(({ availabilityZone }) =>
    isZoneInUse(basis.view, availabilityZone),
  );
  const isPlaceable = usable.some(({ capacity }) => fitsInto(size, capacity));
  if (usable.length === 0) return right(['no worker is in an availability zone in use']);
  if (isPlaceable) return right([]);
  return impossible(`no worker in a zone in use is large enough for ${sizeText(size)}`);
};
