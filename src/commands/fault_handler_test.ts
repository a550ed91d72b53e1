import { spawn } from 'node:child_process';
import { EventEmitter } from 'node:events';
import path from 'node:path';
import t from 'tap';
import type { Test } from 'tap';
import { PortReservation } from '../../test/fleet/mod.js';
import { FakeLog, FakeMetrics } from '../../test/support/fakes.js';
import { registerFaultHandler } from './fault_handler.js';

const PROGRAM = path.resolve('build/src/commands/main.js');

/** Makes a signal throw outside of any call, as a fault of a library does. */
const FAULT = `data:text/javascript,process.on('SIGUSR2', () => { throw undefined; })`;

// Guards against a fault handler that throws, which ends the process.
t.test('registerFaultHandler records every thrown value', async (t) => {
  const source = new EventEmitter();
  const log = new FakeLog();
  const metrics = new FakeMetrics();
  registerFaultHandler(source, { log, metrics });
  const unreadable = Object.defineProperty(new Error('a'), 'stack', {
    get: () => {
      throw new Error('no stack');
    },
  });
  const thrown = [undefined, null, 'text', Object.create(null), unreadable, new Error('reason')];
  thrown.forEach((value) => source.emit('uncaughtException', value));
  t.equal(log.lines.length, thrown.length);
  t.match(log.lines.at(-1)?.fields.reason, /reason.*\n +at /, 'with a stack');
  t.equal(metrics.counts.get('internal_faults_total{}'), thrown.length);
});

/** Starts an entry host that throws at each SIGUSR2, and collects its log. */
async function startEntryHost(t: Test): Promise<{
  readonly url: string;
  readonly kill: (signal: NodeJS.Signals) => void;
  readonly waitForEvent: (event: string) => Promise<boolean>;
}> {
  const ports = new PortReservation();
  t.teardown(() => ports.close());
  const [callers, peers, admin, nobody] = await Promise.all(
    [1, 2, 3, 4].map(() => ports.reserve()),
  );
  const env = {
    MONSOONHALL_ID: 'host-a',
    MONSOONHALL_AVAILABILITY_ZONE: 'zone-a',
    MONSOONHALL_LISTEN: `127.0.0.1:${callers}`,
    MONSOONHALL_PEER_LISTEN: `127.0.0.1:${peers}`,
    MONSOONHALL_ADMIN_LISTEN: `127.0.0.1:${admin}`,
    MONSOONHALL_ADMIN_KEY: 'test-administration-key',
    MONSOONHALL_CLUSTER_KEY: '5a'.repeat(32),
    MONSOONHALL_CONFIGURATION_URL: `http://127.0.0.1:${nobody}/configuration`,
    MONSOONHALL_HOST_LIST_URL: `http://127.0.0.1:${nobody}/hosts`,
  };
  const args = ['--import', FAULT, PROGRAM, 'entry'];
  const child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'inherit'] });
  t.teardown(() => child.kill('SIGKILL'));
  let text = '';
  child.stdout.setEncoding('utf8').on('data', (chunk: string) => {
    text += chunk;
  });
  const waitForEvent = (event: string): Promise<boolean> =>
    new Promise((resolve) => {
      const check = (): void => {
        if (text.includes(`event=${event} `)) resolve(true);
      };
      check();
      child.stdout.on('data', check);
      child.once('exit', () => resolve(false));
    });
  return { url: `http://127.0.0.1:${callers}`, kill: (signal) => child.kill(signal), waitForEvent };
}

// Guards against a fault outside of any call that ends an entry host, and with it all its calls.
t.test('monsoonhall entry goes on after an exception that nothing has caught', async (t) => {
  const entryHost = await startEntryHost(t);
  t.ok(await entryHost.waitForEvent('entry_host_started'));
  entryHost.kill('SIGUSR2');
  t.ok(await entryHost.waitForEvent('internal_fault'));
  const { status } = await fetch(`${entryHost.url}/v1/nothing`);
  t.equal(status, 404);
});
