/** Writes the code cache after a short run of the daemon on loopback with an unreachable store. */
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join } = require('node:path');

/** Long enough for the listeners to open and the first store calls to fail. */
const RUN_MS = 1_500;

const folder = mkdtempSync(join(tmpdir(), 'snipethread-cache-'));
const settingsFile = join(folder, 'settings.json');
const settings = {
  instanceId: 'build',
  availabilityZone: 'build',
  listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0', metrics: '127.0.0.1:0' },
  storeAddress: '127.0.0.1:1',
  maximumLeaseMs: 6_000,
  workerReportIntervalMs: 1_500,
  workerStopMs: 500,
  configurationBoundMs: 2000,
  withdrawalBoundMs: 5000,
  drainBoundMs: 2000,
  graceSeconds: 6,
  processor: { share: 1, speed: 1 },
};
writeFileSync(settingsFile, JSON.stringify(settings));
process.argv[2] = settingsFile;

// eslint-disable-next-line import-x/no-unresolved, import-x/extensions -- the build copies it here
const { script, cacheFile } = require('./snipethread.cjs');

setTimeout(() => {
  writeFileSync(cacheFile, script.createCachedData());
  rmSync(folder, { recursive: true });
  process.exit(0);
}, RUN_MS);
