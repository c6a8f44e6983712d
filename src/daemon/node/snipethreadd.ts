#!/usr/bin/env node
/** The daemon's program; all else is loaded only after the heap's flags are set. */
import './memoryFlags.js';

/**
 * Modules that are imported statically are all read and compiled before the first of them runs.
 * The young generation grew from 2 to 8 MB on that, before the flags that hold it small were
 * set: an idle daemon then held more than its 100 MB.
 */
const { runDaemonProgram } = await import('./daemonProgram.js');

runDaemonProgram(process.argv.slice(2));
