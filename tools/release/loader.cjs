/**
 * Starts the bundled daemon with V8's code cache. Without it, compiling the bundle takes most of
 * the startup time on a quarter of a core, after each crash and rolling restart. V8 rejects a
 * cache made under other flags or by another version; the daemon then compiles the bundle.
 */
const { existsSync, readFileSync } = require('node:fs');
const { wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const filename = join(__dirname, 'bundle.cjs');
const cacheFile = join(__dirname, 'bundle.cache');

const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData });
if (script.cachedDataRejected) {
  process.stdout.write('{"level":"warn","event":"code-cache-rejected"}\n');
}
script.runInThisContext()(module.exports, require, module, filename, __dirname);

// `codeCache.cjs` writes the cache after a short run, when V8 has compiled the startup code.
module.exports = { script, cacheFile };
