/** The monotonic clock of the process. It keeps running while a signal stops the process. */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../common/clock.js';

export const systemClock: Clock = { nowMs: () => performance.now() };
