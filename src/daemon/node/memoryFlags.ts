/**
 * Keeps the heap small. This module must run before any other module is loaded. A daemon may use
 * 128 MB, but with the defaults of Node.js a daemon under load keeps more than 200 MB resident: each
 * half of the young generation grows to 16 MB, and the old generation grows for a long time before
 * its first collection.
 *
 * With these flags, the young generation keeps its initial size, and the old generation is collected
 * when it has grown by a third since its last collection. The cost is more, but shorter,
 * collections. V8 reads the flags whenever a part of the heap is about to grow, so they take effect
 * without a restart of the process.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--semi-space-growth-factor=1');
// Collecting so small a generation takes less time than waking up the helper threads.
setFlagsFromString('--no-parallel-scavenge');
setFlagsFromString('--heap-growing-percent=33');
setFlagsFromString('--expose-gc');

/**
 * Runs one garbage collection. The daemon calls it once after its start: until the first collection,
 * the limit of the old generation does not depend on the live objects, and the garbage from loading
 * the modules stays in memory.
 */
export const collectGarbage = runInNewContext('gc') as (options?: { type: 'minor' }) => void;

/**
 * undici reads the global `Headers` while it loads, which makes Node.js load its bundled copy of
 * undici for `fetch`. The daemon never calls `fetch`, so deleting the global saves several megabytes.
 */
Reflect.deleteProperty(globalThis, 'Headers');
