import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import t from 'tap';
import { LoadCommand } from './load.js';

interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runCommand(args: readonly string[]): Promise<CommandResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await Cli.from(LoadCommand).run(['load', ...args], {
    stdin: process.stdin,
    stdout,
    stderr,
  });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { code, stdout: read(stdout), stderr: read(stderr) };
}

t.test('monsoonhall load refuses invalid arguments with one line', async (t) => {
  const cases: readonly [string[], RegExp][] = [
    [[], /--url is missing/],
    [['--url', 'http://127.0.0.1:1', '--key', 'firm-a'], /must be account=key/],
    [['--url', 'http://127.0.0.1:1', '--seed', 'x', '--key', 'a=b'], /--seed "x"/],
    [['--url', 'http://127.0.0.1:1'], /accounts/],
    [['--url', 'http://127.0.0.1:1', '--plan', '/nowhere/plan.json'], /no such file/],
  ];
  for (const [args, expected] of cases) {
    const { code, stderr } = await runCommand(args);
    t.equal(code, 2, args.join(' '));
    t.match(stderr, expected);
    t.notMatch(stderr, /\n\s+at /, 'no stack trace');
  }
});

t.test('monsoonhall load runs a plan and writes results without API keys', async (t) => {
  const server = createServer((request, response) => {
    request.resume().on('end', () => response.writeHead(200).end('{}'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const folder = await mkdtemp(path.join(tmpdir(), 'monsoonhall-load-'));
  const [planFile, jsonFile, htmlFile] = ['plan.json', 'out.json', 'out.html'].map((name) =>
    path.join(folder, name),
  ) as [string, string, string];
  const work = {
    name: 'w',
    share: 1,
    tier: 'urgent',
    service: 's',
    withId: false,
    deadlineMs: 5000,
  };
  const phases = [{ name: 'p', seconds: 10, requestsPerSecond: 40 }];
  const plan = { phases, accounts: [{ id: 'firm-a' }], work: [work] };
  await writeFile(planFile, JSON.stringify(plan));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const { code, stdout, stderr } = await runCommand([
    ...['--url', url, '--plan', planFile, '--key', 'firm-a=secret-key', '--seconds', '0.3'],
    ...['--json', jsonFile, '--html', htmlFile],
  ]);
  t.equal(stderr, '');
  t.equal(code, 0);
  t.match(stdout, /urgent +\d+ +\d+ +100\.0/);
  const json = await readFile(jsonFile, 'utf8');
  t.notMatch(json, 'secret-key');
  t.equal((JSON.parse(json) as { reports: unknown[] }).reports.length, 1);
  t.match(await readFile(htmlFile, 'utf8'), '<svg');
});
