/**
 * Builds the daemon for the users' platform into `target/`: the bundle, a loader and V8's code
 * cache. The cache is made under the daemon's own flags, because V8 rejects it under others.
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync } from 'node:fs';

import { build } from 'esbuild';

/** Must equal the flags in deploy/system.toml. */
const FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/program.ts'],
  outfile: 'target/bundle.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
});
copyFileSync('tools/release/loader.cjs', 'target/snipethread.cjs');
copyFileSync('tools/release/codeCache.cjs', 'target/codeCache.cjs');
const cacheRun = spawnSync(process.execPath, [...FLAGS, 'target/codeCache.cjs'], {
  stdio: 'inherit',
});
process.exit(cacheRun.status ?? 1);
