/** Counts the lines that are neither blank nor comments: `npm run stats`. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const ROOTS = ['src', 'platform', 'standIns', 'bench', 'soak', 'tools'];

/** The purposes of product files by path; the first matching pattern decides. */
const PURPOSES = [
  ['membership', /^src\/(peers|services\/instanceList)\//u],
  ['membership', /^src\/scheduler\/(common\/cellLease\.|node\/cellTasks)/u],
  ['retries', /^src\/(entry|services)\/.*([rR]etr|attempt|claim|backoff)/u],
  // The names of these files contain words of the pattern for limits.
  ['routing', /^src\/entry\/common\/dequeueInterval\./u],
  ['other', /^src\/services\/log\/common\/rateLimitedLog\./u],
  ['limits', /^src\/(entry|services|operator)\/.*(limit|[qQ]ueue|admission|share|quota|budget)/iu],
  ['routing', /^src\/entry\//u],
  ['state and recovery', /^src\/(intake|services\/(submissions|fleet))\//u],
  ['state and recovery', /^src\/(scheduler|operator\/common|operator\/node\/planService)/u],
  ['state and recovery', /^src\/services\/(configuration|table|work|worker|objectStore)\//u],
  ['other', /^src\//u],
];

const filesUnder = (folder) =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return filesUnder(path);
    return /\.(ts|mjs)$/u.test(entry.name) ? [path] : [];
  });

const codeLineCount = (text) =>
  text
    .replace(/\/\*[\s\S]*?\*\//gu, '')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.trim().startsWith('//')).length;

const kindOf = (path) => {
  if (/(^|\/)test\//u.test(path) || path.endsWith('.test.ts')) return 'test';
  const [root] = path.split('/');
  return { src: 'product', platform: 'adapter', standIns: 'stand-in', tools: 'tool' }[root] ?? root;
};

const lines = new Map();
const purposes = new Map();
let standInLines = 0;
const add = (counts, name, count) => counts.set(name, (counts.get(name) ?? 0) + count);

ROOTS.flatMap(filesUnder).forEach((path) => {
  const text = readFileSync(path, 'utf8');
  const count = codeLineCount(text);
  const kind = kindOf(path);
  add(lines, kind, count);
  if (kind === 'stand-in') standInLines += text.split('\n').length - 1;
  if (kind !== 'product') return;
  add(purposes, PURPOSES.find(([, pattern]) => pattern.test(path))[0], count);
});

const total = [...lines.values()].reduce((sum, count) => sum + count, 0);
const percent = (part, whole) => `${((100 * part) / whole).toFixed(1)} %`;
const row = (name, count, whole) =>
  `  ${name.padEnd(20)} ${String(count).padStart(6)}  ${percent(count, whole).padStart(7)}`;
console.log('lines of code, without blanks and comments');
[...lines].forEach(([name, count]) => console.log(row(name, count, total)));
console.log('product lines by purpose');
const product = lines.get('product') ?? 0;
[...purposes].forEach(([name, count]) => console.log(row(name, count, product)));
const core = product - (purposes.get('other') ?? 0);
console.log(row('all but other', core, product));
const testShare = (lines.get('test') ?? 0) / total;
console.log(`test code: ${percent(testShare, 1)} of all`);
console.log(`stand-ins: ${standInLines} lines in all`);
