/**
 * Runs vitest, ignores exactly the failures that KNOWN-RED.txt lists, and prints that list. A line
 * there begins with the test's full name or a command, followed by ` | ` and the remarks.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const MAXIMUM_KNOWN_COUNT = 3;
/** Entries of this issue do not count against the maximum. */
const UNCOUNTED_ISSUE = '| issue 61';

const knownLines = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter((line) => line.trim() !== '' && !line.startsWith('#'));
const countedLines = knownLines.filter((line) => !line.endsWith(UNCOUNTED_ISSUE));
if (countedLines.length > MAXIMUM_KNOWN_COUNT) {
  console.error(
    `KNOWN-RED.txt lists ${countedLines.length} tests; at most ${MAXIMUM_KNOWN_COUNT} may be`,
  );
  process.exit(1);
}
const knownNames = new Set(knownLines.map((line) => line.split(' | ')[0].trim()));

const folder = mkdtempSync(join(tmpdir(), 'snipethread-tests-'));
const reportFile = join(folder, 'report.json');
const run = spawnSync(
  process.execPath,
  [
    'node_modules/vitest/vitest.mjs',
    'run',
    '--reporter=default',
    '--reporter=json',
    `--outputFile=${reportFile}`,
    ...process.argv.slice(2),
  ],
  { stdio: 'inherit' },
);
let report;
try {
  report = JSON.parse(readFileSync(reportFile, 'utf8'));
} catch {
  console.error('vitest wrote no report');
  process.exit(run.status === 0 ? 1 : (run.status ?? 1));
} finally {
  rmSync(folder, { recursive: true, force: true });
}

const tests = report.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const unexpected = failed.filter((name) => !knownNames.has(name));
const brokenFiles = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
const isRunnerFailure = run.status !== 0 && failed.length === 0;
knownLines.forEach((line) => console.log(`known red: ${line}`));
[...knownNames]
  .filter((name) => tests.some((test) => test.fullName === name && test.status === 'passed'))
  .forEach((name) => console.log(`listed as red but passes now: ${name}`));
unexpected.forEach((name) => console.error(`failed: ${name}`));
if (isRunnerFailure) console.error('the runner failed beside the tests; see its errors above');
brokenFiles.forEach((file) => console.error(`could not run: ${file.name}`));
console.log(
  `${tests.filter((test) => test.status === 'passed').length} passed, ${unexpected.length} failed`,
);
process.exit(unexpected.length > 0 || brokenFiles.length > 0 || isRunnerFailure ? 1 : 0);
