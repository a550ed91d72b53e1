/**
 * Implements `monsoonhall entry`, the daemon of an entry host.
 *
 * @module
 */
import { Command } from 'clipanion';
import { EntryOptions } from './_entry_options.js';
import { EntryProcess } from './_entry_process.js';
import { parseEntrySettings } from './settings.js';

const CUT_REQUESTS_EXIT_CODE = 1;

/** Runs an entry host until a signal stops it. */
export class EntryCommand extends EntryOptions {
  static override paths = [['entry']];

  static override usage = Command.Usage({
    description: 'run an entry host',
    details:
      'Accepts calls, schedules them and dispatches them to backend servers. SIGTERM or SIGINT starts a planned stop, which lets running requests finish. A second signal ends them at once and tells each caller whether its request may have run. Exits with 0 after a clean stop, 1 when requests were cut off, 2 for invalid settings.',
  });

  override async execute(): Promise<number> {
    const settings = parseEntrySettings(this.readFlags(), this.context.env);
    const entryHost = new EntryProcess(settings);
    const stopSignal = waitForSignal();
    const hasStarted = await Promise.race([
      entryHost.start().then(() => true),
      stopSignal.then(() => false),
    ]);
    // Callers are listened for last: without a complete start, no call has come.
    if (!hasStarted) process.exit(0);
    await stopSignal;
    const isClean = await entryHost.stop(waitForSignal());
    // Timers and peer links that are slow to close must not delay the exit: all answers and
    // notices have been sent by now.
    process.exit(isClean ? 0 : CUT_REQUESTS_EXIT_CODE);
  }
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
