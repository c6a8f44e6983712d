/**
 * Holds the young generation of the heap small; imported before everything else. Node.js lets
 * it grow to 16 MB a half, of which a daemon under load keeps all three parts resident and
 * passes the 128 MB that a node may spend on control. A larger young generation would only
 * save collections, and those of a small one are short. The flag is read whenever the young
 * generation is about to grow, so it works without starting the process anew.
 */
import { setFlagsFromString } from 'node:v8';

setFlagsFromString('--semi-space-growth-factor=1');
