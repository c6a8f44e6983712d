/**
 * Holds the heap small; run before everything else is loaded. A daemon may hold 128 MB, and Node.js
 * on its own lets one under load keep more than 200 MB resident: halves of the young generation
 * grow to 16 MB, and the old one grows for long before it is collected at all.
 *
 * The young generation stays at its first size, and the old one is collected when it has grown
 * by a third since the last time. What that costs is more, shorter collections. The flags are
 * read whenever a part of the heap is about to grow, so they work without starting the process
 * anew, however it was started.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--semi-space-growth-factor=1');
// So little is collected in less time than it takes to wake threads up for it.
setFlagsFromString('--no-parallel-scavenge');
setFlagsFromString('--heap-growing-percent=33');
setFlagsFromString('--expose-gc');

/**
 * Collects once, for after the start: until its first collection the old generation has no
 * limit that relates to what is live, and what loading the modules left behind stays.
 */
export const collectGarbage = runInNewContext('gc') as () => void;

/**
 * undici asks for the global `Headers` while it loads, and Node.js then loads the copy of undici
 * that it brings for `fetch`, which a daemon never calls: several megabytes for nothing.
 */
Reflect.deleteProperty(globalThis, 'Headers');
