/**
 * Runs the test suite: installs missing packages, compiles, runs every test file with tap, tolerates
 * the failures listed in KNOWN-RED.txt, and prints `N passed, N failed` as its last line.
 */
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

const MAX_PARALLEL = '4';

/** Tests of clients that don't behave, which run one at a time, apart from other load. */
const ALONE_FOLDER = path.join('build', 'platform', 'hostile_clients');

const tally = { passed: 0, failed: [], skipped: [], failedFiles: [] };

function runStep(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Reads KNOWN-RED.txt. Each line is `test name, command and seed, what was seen, issue`. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '');
}

function listTests() {
  return readdirSync('build', { recursive: true })
    .map((name) => path.join('build', String(name)))
    .filter((name) => name.endsWith('_test.js'))
    .sort();
}

/**
 * Counts the result of one TAP line. Each top-level `t.test()` of a file is one test; its line is
 * indented by one level (four spaces) below the line of its file.
 */
function countTest(line) {
  const match = /^ {4}(not ok|ok) \d+ - (.*?)(?: # (?!time=)(SKIP|TODO).*| # time=.*| \{)?$/.exec(
    line,
  );
  if (match) {
    const [, verdict, name, directive] = match;
    if (directive) tally.skipped.push(name);
    else if (verdict === 'ok') tally.passed += 1;
    else tally.failed.push(name);
  }
  const file = /^not ok \d+ - (.*?)(?: # time=.*| \{)?$/.exec(line);
  if (file) tally.failedFiles.push(file[1]);
}

/** Whether a TAP line is printed: omits passing assertions and keeps diagnostics of failures. */
function isWorthShowing(line) {
  if (/^\s*(ok \d|#|\d+\.\.\d+|\}|$)/.test(line)) return /^( {4})?ok \d/.test(line);
  return !line.startsWith('TAP version');
}

async function runTap(files, parallel) {
  if (files.length === 0) return 0;
  const args = ['node_modules/tap/dist/esm/run.mjs'];
  const bin = existsSync(args[0]) ? args : ['node_modules/.bin/tap'];
  const child = spawn(
    'node',
    [
      ...bin,
      '--disable-coverage',
      '--reporter=tap',
      `--jobs=${parallel}`,
      '--timeout=240',
      ...files,
    ],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  let rest = '';
  child.stdout.setEncoding('utf8');
  child.stdout.on('data', (text) => {
    const lines = (rest + text).split('\n');
    rest = lines.pop();
    lines.forEach((line) => {
      countTest(line);
      if (process.env.VERBOSE || isWorthShowing(line)) process.stdout.write(`${line}\n`);
    });
  });
  return new Promise((resolve) => {
    child.on('close', resolve);
  });
}

if (!existsSync('node_modules/.package-lock.json')) runStep('npm', ['ci', '--ignore-scripts']);
const knownRed = readKnownRed();
runStep('node', ['scripts/compile.mjs']);
if (existsSync('scripts/build.mjs')) runStep('node', ['scripts/build.mjs']);
runStep('node', ['scripts/bundle_platform.mjs']);
const filter = process.argv[2];
const files = listTests().filter((name) => !filter || name.includes(filter));
if (files.length === 0) {
  // Without a file, tap would look for tests by itself.
  process.stdout.write(`no test file has "${filter}" in its path\n0 passed, 0 failed\n`);
  process.exit(1);
}
const mustRunAlone = (file) => file.startsWith(ALONE_FOLDER);
const exitCodes = [
  await runTap(
    files.filter((file) => !mustRunAlone(file)),
    MAX_PARALLEL,
  ),
  await runTap(files.filter(mustRunAlone), '1'),
];
const exitCode = exitCodes.every((code) => code === 0) ? 0 : 1;

const isKnown = (name) => knownRed.some((line) => line.startsWith(`${name},`));
const newFailures = tally.failed.filter((name) => !isKnown(name));
knownRed.forEach((line) => process.stdout.write(`known red: ${line}\n`));
tally.skipped.forEach((name) => process.stdout.write(`skipped: ${name}\n`));
newFailures.forEach((name) => process.stdout.write(`failed: ${name}\n`));
// A file that fails without a failed test has crashed, timed out or run no test.
const hasCrashed = exitCode !== 0 && tally.failed.length === 0;
if (hasCrashed)
  process.stdout.write(`failed without a failed test: ${tally.failedFiles.join(', ')}\n`);
const failedCount = tally.failed.length + (hasCrashed ? Math.max(1, tally.failedFiles.length) : 0);
const isSuccess =
  newFailures.length === 0 && !hasCrashed && tally.skipped.length === 0 && tally.passed > 0;
process.stdout.write(`${tally.passed} passed, ${failedCount} failed\n`);
process.exit(isSuccess ? 0 : 1);
