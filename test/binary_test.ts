/** Tests of the release binary, which scripts/test.mjs builds before the tests. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import t from 'tap';

const BINARY = path.resolve('dist/monsoonhall');
const TIMEOUT_MS = 60_000;

const CONTRACT = {
  account: 'firm-a',
  keys: [{ sha256: 'ab'.repeat(32) }],
  weight: 4,
  limits: { requestsPerSecond: 20, tokensPerSecond: 20_000, inFlight: 64 },
  longestDeadlineMs: 600_000,
  work: [
    {
      kind: 'summary',
      service: 'monsoon-llm',
      tier: 'urgent',
      repeatable: true,
      deadlineMs: 10_000,
      expectedOutputTokens: 120,
    },
  ],
};

function runBinary(argv: readonly string[], env: NodeJS.ProcessEnv = {}) {
  // The environment of the machine is not passed on, so that it cannot affect the result.
  const { status, stdout, stderr } = spawnSync(BINARY, argv, {
    env,
    encoding: 'utf8',
    timeout: TIMEOUT_MS,
  });
  return { status, stdout, stderr };
}

function writeContract(t: { teardown: (end: () => unknown) => void }, contract: unknown): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'firm-a.json');
  writeFileSync(file, JSON.stringify(contract, undefined, 2));
  return file;
}

t.test('monsoonhall --version prints the version of package.json', async (t) => {
  const { version } = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
  t.strictSame(runBinary(['--version']), { status: 0, stdout: `${version}\n`, stderr: '' });
});

t.test('monsoonhall --help lists every command', async (t) => {
  const { status, stdout, stderr } = runBinary(['--help']);
  t.equal(status, 0);
  t.equal(stderr, '');
  ['entry', 'call', 'status', 'contract check', 'contract explain', 'load'].forEach((command) =>
    t.match(stdout, new RegExp(`^  monsoonhall ${command} +\\S`, 'm')),
  );
  t.equal(runBinary([]).stdout, stdout);
});

t.test('monsoonhall COMMAND --help lists the options of each command', async (t) => {
  ['entry', 'call', 'status', 'contract check', 'contract explain', 'load'].forEach((command) => {
    const { status, stdout } = runBinary([...command.split(' '), '--help']);
    t.equal(status, 0, command);
    t.match(stdout, /^Options$/m, command);
  });
});

t.test('monsoonhall rejects an unknown command with one line', async (t) => {
  const { status, stdout, stderr } = runBinary(['frobnicate']);
  t.equal(status, 2);
  t.equal(stdout, '');
  t.match(stderr, /^monsoonhall: .*; see monsoonhall --help\n$/);
});

t.test('monsoonhall entry prints one line for each invalid setting', async (t) => {
  const env = { MONSOONHALL_ADMIN_KEY: 'hidden', MONSOONHALL_HEARTBEAT_MS: 'often' };
  const { status, stdout, stderr } = runBinary(['entry', '--listen', 'nowhere'], env);
  t.equal(status, 2);
  t.equal(stdout, '');
  const lines = stderr.trimEnd().split('\n');
  const flags = lines.map((line) => /^(--[a-z-]+) \(MONSOONHALL_[A-Z_]+\): ./.exec(line)?.[1]);
  t.strictSame(flags, [
    '--id',
    '--availability-zone',
    '--listen',
    '--peer-listen',
    '--admin-listen',
    '--admin-key',
    '--cluster-key',
    '--configuration-url',
    '--host-list-url',
    '--heartbeat-ms',
  ]);
  t.notMatch(stderr, 'hidden');
});

t.test('monsoonhall contract check accepts a valid contract', async (t) => {
  const { status, stderr } = runBinary(['contract', 'check', writeContract(t, CONTRACT)]);
  t.equal(stderr, '');
  t.equal(status, 0);
});

t.test('monsoonhall contract check reports the line and field of an error', async (t) => {
  const file = writeContract(t, { ...CONTRACT, weight: -1 });
  const { status, stderr } = runBinary(['contract', 'check', file]);
  t.equal(status, 1);
  t.match(stderr, /firm-a\.json:\d+: .*weight/);
  t.notMatch(stderr, /^ +at /m);
});
