/** Makes the code cache: starts the daemon on loopback beside a store that is not there. */
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join } = require('node:path');

/** Until the listeners are open and the first calls have failed. */
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
  graceSeconds: 6,
  processor: { share: 1, speed: 1 },
};
writeFileSync(settingsFile, JSON.stringify(settings));
process.argv[2] = settingsFile;

// eslint-disable-next-line import-x/no-unresolved, import-x/extensions -- stands here once built
const { script, cacheFile } = require('./snipethread.cjs');

setTimeout(() => {
  writeFileSync(cacheFile, script.createCachedData());
  rmSync(folder, { recursive: true });
  process.exit(0);
}, RUN_MS);
