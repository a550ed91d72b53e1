/**
 * `monsoonhall entry`: the daemon on an entry host.
 *
 * @module
 */
import { Command } from 'clipanion';
import { EntryOptions } from './_entry_options.js';
import { EntryProcess } from './_entry_process.js';
import { parseEntrySettings } from './settings.js';

const CUT_EXIT_CODE = 1;

/** Runs an entry host until it is told to stop. */
export class EntryCommand extends EntryOptions {
  static override paths = [['entry']];

  static override usage = Command.Usage({
    description: 'run an entry host',
    details:
      'Takes callers in, schedules their requests and dispatches them to backend servers. SIGTERM or SIGINT begins a planned stop, which cuts no request; a second signal ends it at once with honest answers. Exit code 0 after a clean stop, 1 when requests were cut, 2 when a setting cannot be used.',
  });

  override async execute(): Promise<number> {
    const settings = parseEntrySettings(this.readFlags(), this.context.env);
    const entryHost = new EntryProcess(settings);
    const first = waitForSignal();
    await entryHost.start();
    await first;
    const isClean = await entryHost.stop(waitForSignal());
    // Timers and links of peers that are slow to close must not hold the
    // process: everything that had to be told has been told.
    process.exit(isClean ? 0 : CUT_EXIT_CODE);
  }
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
