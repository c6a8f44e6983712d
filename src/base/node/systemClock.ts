/** The process's monotonic clock; it goes on while the process is stopped by a signal. */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../common/clock.js';

export const systemClock: Clock = { nowMs: () => performance.now() };
