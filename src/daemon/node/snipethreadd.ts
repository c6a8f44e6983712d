#!/usr/bin/env node
/** The entry point of the daemon. It sets the heap flags before it loads any other module. */
import './memoryFlags.js';

/**
 * The import is dynamic, since statically imported modules are all read and compiled before the first
 * of them runs. That would grow the young generation from 2 to 8 MB before the flags that limit it
 * are set, and an idle daemon would use more than its 100 MB.
 */
const { runDaemonProgram } = await import('./daemonProgram.js');

runDaemonProgram(process.argv.slice(2));
