/**
 * Lets the event loop turn after each test. A file whose tests run in virtual time does nothing
 * else: on a slow machine it kept the loop for over a minute, the runner's own messages were given
 * up as unanswered, and the run failed with every test passed.
 */
import { setImmediate as turn } from 'node:timers/promises';

import { afterEach } from 'vitest';

afterEach(async () => {
  await turn();
});
