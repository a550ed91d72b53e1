/**
 * The planned stop of an entry host of calls that bear their own request ID.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';

/**
 * Time for which calls are still taken after the stop has begun, in milliseconds:
 * callers keep addresses for some seconds and may not know yet.
 */
const ACCEPT_PERIOD_MS = 3_000;

/** Part of the time limit after which calls that are still under way are ended. */
const END_CALLS_FRACTION = 0.86;

/** Time between two looks at whether everything is done, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** Quiet time after the last call for which refusals are still given, in milliseconds. */
const REFUSAL_PERIOD_MS = 1_500;

/** What a planned stop works with. */
export interface DirectStopOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Time limit of the whole stop, in milliseconds. */
  readonly limitMs: number;
  /** Tells everybody not to send callers here any more. */
  readonly announce: () => void;
  readonly refuseNew: () => void;
  readonly closeIdle: () => void;
  readonly countCalls: () => number;
  readonly endAll: () => void;
}

/**
 * Runs the stop: unlisted at once, calls are taken a little longer, then refused
 * as not run, and what is under way is finished.
 *
 * @param options - what to stop
 * @returns when the process may end
 */
export async function runDirectStop(options: DirectStopOptions): Promise<void> {
  const { clock, log, limitMs } = options;
  const startedAtMs = clock.nowMs();
  log.write(LogLevel.Info, 'stop_begun', { calls: options.countCalls(), limitMs });
  options.announce();
  await wait(clock, Math.min(ACCEPT_PERIOD_MS, limitMs / 2));
  options.refuseNew();
  const endCallsAtMs = startedAtMs + limitMs * END_CALLS_FRACTION;
  const refuseUntilMs = clock.nowMs() + REFUSAL_PERIOD_MS;
  while (
    clock.nowMs() < endCallsAtMs &&
    (options.countCalls() > 0 || clock.nowMs() < refuseUntilMs)
  ) {
    await wait(clock, POLL_INTERVAL_MS);
  }
  const cutCalls = options.countCalls();
  options.endAll();
  options.closeIdle();
  await wait(clock, POLL_INTERVAL_MS);
  log.write(LogLevel.Info, 'stop_ended', { cutCalls, tookMs: clock.nowMs() - startedAtMs });
}

function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
