import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import t from 'tap';
import { sendControl, waitUntil } from '../test/fleet/mod.js';

interface Process {
  readonly url: string;
  readonly pid: number;
}

interface HoldLine {
  readonly entryHosts: readonly (Process & { readonly id: string; readonly adminUrl: string })[];
  readonly backendServers: readonly (Process & { readonly id: string; readonly service: string })[];
  readonly platform: Process;
  readonly clientAccounts: readonly { readonly id: string; readonly apiKey: string }[];
}

const WAIT_LIMIT_MS = 10_000;

function hasProcess(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

function startHold(): ChildProcess {
  const program = fileURLToPath(new URL('./main.js', import.meta.url));
  return spawn(process.execPath, [program, '--hold'], { stdio: ['ignore', 'pipe', 'inherit'] });
}

async function readHoldLine(child: ChildProcess): Promise<HoldLine> {
  if (!child.stdout) throw new Error('Cannot read the demo: it has no output');
  const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
  return JSON.parse(line) as HoldLine;
}

function listPids({ entryHosts, backendServers, platform }: HoldLine): number[] {
  return [...entryHosts, ...backendServers, platform].map((each) => each.pid);
}

t.test('demo --hold prints its fleet and stops all its processes at SIGINT', async (t) => {
  const child = startHold();
  const line = await readHoldLine(child);
  t.equal(line.entryHosts.length, 3);
  t.equal(line.backendServers.length, 4);
  t.equal(line.clientAccounts.length, 5);
  t.ok(listPids(line).every(hasProcess));
  const authorization = `Bearer ${line.clientAccounts[0]?.apiKey}`;
  const { status } = await sendControl(`${line.entryHosts[0]?.url}/v1/models`, {
    headers: { authorization },
  });
  t.equal(status, 200);
  child.kill('SIGINT');
  const [exitCode] = (await once(child, 'exit')) as [number | null];
  t.equal(exitCode, 0);
  t.notOk(listPids(line).some(hasProcess));
});

// Guards against entry hosts and stand-ins that outlive the demo and occupy their ports. A process
// that is killed by SIGKILL can't stop its children itself.
t.test('the processes of demo --hold exit when it is killed', async () => {
  const child = startHold();
  const pids = listPids(await readHoldLine(child));
  child.kill('SIGKILL');
  await once(child, 'exit');
  await waitUntil(async () => !pids.some(hasProcess), {
    subject: 'the end of all processes',
    timeoutMs: WAIT_LIMIT_MS,
  });
});
