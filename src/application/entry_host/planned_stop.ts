/**
 * Runs the planned stop of an entry host, which drains its requests.
 *
 * @module
 */
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import type { OwnerService } from '../owner/mod.js';

/**
 * Time that peers need to learn of the stop, and callers to connect: until then
 * a peer may still issue this host's address, or a caller may be about to use it.
 */
const STOP_NOTICE_MS = 1000;

/** Options of {@link runPlannedStop}. */
export interface PlannedStopOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly owner: OwnerService;
  /** Announces the stop to peers, which then direct callers to other entry hosts. */
  readonly announceStop: () => void;
  /** How long callers may use the addresses of an assignment, in milliseconds. */
  readonly keepAddressMs: number;
  /** Longest duration of the stop, in milliseconds. */
  readonly limitMs: number;
  /** Resolves to end the wait early, for instance at a second stop signal. */
  readonly whenForced: Promise<void>;
}

/**
 * Stops without interrupting requests: announces the stop, serves until the last issued
 * address has expired, and waits for running requests. At the time limit, or when the wait is
 * ended early, it fails the remaining requests with an error that tells why.
 *
 * @param options - dependencies and time limits
 * @returns whether all requests ended without being failed
 */
export async function runPlannedStop(options: PlannedStopOptions): Promise<boolean> {
  const { clock, log, owner } = options;
  log.write(LogLevel.Info, 'stop_started', { running: owner.runningCount });
  options.announceStop();
  const isForced = { value: false };
  const forced = Promise.race([waitFor(clock, options.limitMs), options.whenForced]).then(() => {
    isForced.value = true;
  });
  await Promise.race([waitFor(clock, options.keepAddressMs + STOP_NOTICE_MS), forced]);
  await Promise.race([owner.waitUntilIdle(), forced]);
  const isClean = !isForced.value || owner.runningCount === 0;
  if (!isClean) owner.failAll(new SchedulerError(ErrorKind.EntryHostStopping));
  log.write(isClean ? LogLevel.Info : LogLevel.Warn, 'stop_ended', { clean: isClean });
  return isClean;
}

function waitFor(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
