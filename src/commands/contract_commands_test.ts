import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { Cli } from 'clipanion';
import t from 'tap';
import type { Test } from 'tap';
import { ContractCheckCommand } from './contract_check.js';
import { ContractExplainCommand } from './contract_explain.js';

const CONTRACT = `{"account": "firm-a", "keys": [{"sha256": "${'0'.repeat(64)}"}],
"limits": {"requestsPerSecond": 1, "tokensPerSecond": 1, "inFlight": 1},
"work": [{"kind": "k", "service": "gone", "tier": "batch", "repeatable": true}]}`;

const FILES: Readonly<Record<string, string>> = {
  'good.json': CONTRACT,
  'bad.json': CONTRACT.replace('"inFlight": 1', '"inFlight": 0'),
  'fleet.json': '{"services": []}',
  'bad_fleet.json': '{}',
};

interface Outcome {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runCommand(t: Test, args: readonly string[]): Promise<Outcome> {
  const folder = await mkdtemp(path.join(tmpdir(), 'monsoonhall-'));
  t.teardown(() => rm(folder, { recursive: true }));
  await Promise.all(
    Object.entries(FILES).map(([name, content]) => writeFile(path.join(folder, name), content)),
  );
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const cli = Cli.from([ContractCheckCommand, ContractExplainCommand]);
  const placed = args.map((arg) => (arg.endsWith('.json') ? path.join(folder, arg) : arg));
  const exitCode = await cli.run(['contract', ...placed], { stdout, stderr });
  stdout.end();
  stderr.end();
  return {
    exitCode,
    stdout: (await text(stdout)).replaceAll(`${folder}/`, ''),
    stderr: (await text(stderr)).replaceAll(`${folder}/`, ''),
  };
}

t.test('contract commands print faults and hints and set the exit code', async (t) => {
  const hint = /Work "k" names the service "gone", which the fleet lacks/;
  const cases: readonly (readonly [string, number, RegExp, RegExp])[] = [
    ['check good.json', 0, /^good.json: valid \(contract of firm-a\)\n$/, /^$/],
    ['check good.json bad.json', 1, /good.json: valid/, /^bad.json:2: limits.inFlight: /],
    ['check missing.json', 1, /^$/, /^missing.json:1: cannot be read: ENOENT/],
    ['check', 1, /^$/, /Cannot check: name at least one FILE/],
    ['check --fleet fleet.json good.json', 0, hint, /^$/],
    ['check --fleet bad_fleet.json', 1, /^$/, /^bad_fleet.json:1: services: is required/],
    ['explain good.json', 0, /work k at gone +tier +batch\n/, /^$/],
    ['explain good.json --fleet fleet.json', 0, hint, /^$/],
    ['explain good.json --fleet bad_fleet.json', 1, /^$/, /services: is required/],
    ['explain bad.json', 1, /^$/, /^bad.json:2: limits.inFlight: /],
  ];
  for (const [line, exitCode, stdout, stderr] of cases) {
    t.match(await runCommand(t, line.split(' ')), { exitCode, stdout, stderr }, line);
  }
});

t.test('contract explain --json prints rows', async (t) => {
  const { stdout } = await runCommand(t, ['explain', 'good.json', '--json']);
  const { account, rows } = JSON.parse(stdout) as { account: string; rows: object[] };
  t.equal(account, 'firm-a');
  t.ok(rows.some((row) => 'name' in row && row.name === 'tier'));
});
