/**
 * Implements `monsoonhall entry`, the daemon of an entry host.
 *
 * @module
 */
import { Command } from 'clipanion';
import { EntryOptions } from './_entry_options.js';
import { EntryProcess } from './_entry_process.js';
import { isStopSignal, ProcessSignals } from './process_signals.js';
import { parseEntrySettings } from './settings.js';

const CUT_REQUESTS_EXIT_CODE = 1;

/** Runs an entry host until a signal stops it. */
export class EntryCommand extends EntryOptions {
  static override paths = [['entry']];

  static override usage = Command.Usage({
    description: 'run an entry host',
    details:
      'Accepts calls, schedules them and dispatches them to backend servers. SIGTERM, SIGINT or SIGQUIT starts a planned stop, which lets running requests finish. A second signal ends them at once and tells each caller whether its request may have run. Exits with 0 after a clean stop, 1 when requests were cut off, 2 for invalid settings.',
  });

  override async execute(): Promise<number> {
    const settings = parseEntrySettings(this.readFlags(), this.context.env);
    const signals = new ProcessSignals(process);
    const entryHost = new EntryProcess(settings);
    const [stopSignal, secondStopSignal] = waitForStops(signals, entryHost);
    const hasStarted = await Promise.race([
      entryHost.start().then(() => true),
      stopSignal.then(() => false),
    ]);
    // Callers are listened for last: without a complete start, no call has come.
    if (!hasStarted) process.exit(0);
    await stopSignal;
    const isClean = await entryHost.stop(secondStopSignal);
    // Timers and peer links that are slow to close must not delay the exit: all answers and
    // notices have been sent by now.
    process.exit(isClean ? 0 : CUT_REQUESTS_EXIT_CODE);
  }
}

/**
 * Handles all signals for as long as the process runs.
 *
 * @param signals - signals of the process
 * @param entryHost - logs each of them
 * @returns what resolves with the first signal to stop, and with the second one
 */
function waitForStops(
  signals: ProcessSignals,
  entryHost: EntryProcess,
): readonly [Promise<void>, Promise<void>] {
  const resolvers: (() => void)[] = [];
  const wait = (): Promise<void> =>
    new Promise((resolve) => {
      resolvers.push(resolve);
    });
  const stops = [wait(), wait()] as const;
  signals.setHandler((signal) => {
    entryHost.logSignal(signal);
    if (isStopSignal(signal)) resolvers.shift()?.();
  });
  return stops;
}
