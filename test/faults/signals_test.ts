/**
 * Signals to entry hosts.
 *
 * @module
 */
import t from 'tap';
import { startFleet, waitUntil } from '../fleet/mod.js';
import type { EntryHost } from '../fleet/mod.js';

const WAIT_LIMIT_MS = 30_000;

/** Signals that ask no process to end. */
const OTHER_SIGNALS = ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGIO'] as const;

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;

/** Sends a signal, and waits until the process has logged it or has ended. */
async function sendSignal(host: EntryHost, signal: NodeJS.Signals): Promise<void> {
  host.kill(signal);
  const hasHandled = async (): Promise<boolean> =>
    !host.isRunning || host.output.includes(`event=signal_received signal=${signal} `);
  await waitUntil(hasHandled, { subject: `the effect of ${signal}`, timeoutMs: WAIT_LIMIT_MS });
}

// Guards against processes that end, with all their requests, by a signal that doesn't ask them to.
t.test('an entry host lives through signals, and through a third one to stop', async (t) => {
  const fleet = await startFleet({ entryHostCount: 1, engineCount: 1 });
  t.teardown(() => fleet.stop());
  const [host] = fleet.entryHosts;
  if (!host) throw new Error('no entry host was started');
  for (const signal of OTHER_SIGNALS) {
    if (!host.isRunning) await host.restart();
    await sendSignal(host, signal);
    t.ok(host.isRunning, signal);
  }
  t.notMatch(host.output, /Debugger listening/);
  if (!host.isRunning) await host.restart();
  for (const signal of STOP_SIGNALS) await sendSignal(host, signal);
  await host.waitForExit();
  t.type(host.exitCode, 'number', 'it ends by itself');
});
