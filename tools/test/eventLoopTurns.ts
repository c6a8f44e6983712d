/**
 * Yields to the event loop after each test. Tests in virtual time never yield by themselves: on a
 * slow machine, one file blocked the loop for over a minute, so vitest's own messages timed out
 * and the run failed although every test passed.
 */
import { setImmediate as turn } from 'node:timers/promises';

import { afterEach } from 'vitest';

afterEach(async () => {
  await turn();
});
