/**
 * The planned stop of an entry host.
 *
 * @module
 */
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import type { OwnerService } from '../owner/mod.js';

/**
 * Time that peers need to hear of the stop, and callers to connect: until then
 * an address may still be given out or be on its way to be used.
 */
const NOTICE_MS = 1000;

/** Options of a planned stop. */
export interface PlannedStopOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly owner: OwnerService;
  /** Tells peers, who then name other entry hosts to callers. */
  readonly announce: () => void;
  /** How long callers may still use addresses they were given, in milliseconds. */
  readonly keepAddressMs: number;
  /** Longest stop, in milliseconds. */
  readonly limitMs: number;
  /** Ends the wait early, as a second signal does. */
  readonly hurry: Promise<void>;
}

/**
 * Stops without cutting a request: says so, serves until the last address that
 * was given out has run out, and waits for what runs. At the limit, or when
 * hurried, what still runs is ended with honest answers.
 *
 * @param options - what it needs
 * @returns whether everything ended by itself
 */
export async function runPlannedStop(options: PlannedStopOptions): Promise<boolean> {
  const { clock, log, owner } = options;
  log.write(LogLevel.Info, 'stop_started', { running: owner.runningCount });
  options.announce();
  const isCut = { value: false };
  const cut = Promise.race([waitFor(clock, options.limitMs), options.hurry]).then(() => {
    isCut.value = true;
  });
  await Promise.race([waitFor(clock, options.keepAddressMs + NOTICE_MS), cut]);
  await Promise.race([owner.waitUntilIdle(), cut]);
  const isClean = !isCut.value || owner.runningCount === 0;
  if (!isClean) owner.refuseAll(new SchedulerError(ErrorKind.EntryHostStopping));
  log.write(isClean ? LogLevel.Info : LogLevel.Warn, 'stop_ended', { clean: isClean });
  return isClean;
}

function waitFor(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
