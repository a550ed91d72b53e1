/**
 * Shuts down an entry host that serves calls directly.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import { runGuarded } from './_run_guarded.js';

/**
 * Time after the signal for which new calls are still accepted, in milliseconds. Callers cache
 * addresses for some seconds and may not know of the shutdown yet.
 */
const ACCEPT_PERIOD_MS = 3_000;

/** Longest time that a busy process usually takes to handle the signal, in milliseconds. */
const MAX_SIGNAL_DELAY_MS = 200;

/** Fraction of the time limit after which the calls still in progress are ended. */
const END_CALLS_FRACTION = 0.86;

/** Fraction of the time limit until which answers that have ended are still sent to slow callers. */
const SEND_ANSWERS_FRACTION = 0.95;

/** Interval between checks whether all calls have ended, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** Minimum time for which new calls are still answered with refusals, in milliseconds. */
const REFUSAL_PERIOD_MS = 1_500;

/** Steps and limits of the shutdown. */
export interface DirectStopOptions {
  /** Requests that this host sends for its peers. */
  readonly requestsOfPeers: {
    readonly exchangeCount: number;
    /** Has peers ask others. */
    refuseNewRequests(): void;
    /** Ends those that are left, and tells the peers. */
    endAll(): void;
  };
  readonly clock: Clock;
  readonly log: EventLog;
  /** Time limit of the whole shutdown, in milliseconds. */
  readonly limitMs: number;
  /** Announces that callers must no longer be sent to this entry host. */
  readonly announceStop: () => void;
  /** @param endAtMs - when calls are ended, on the monotonic clock in milliseconds */
  readonly setCallsEnd: (endAtMs: number) => void;
  readonly refuseNewCalls: () => void;
  /** Refuses new connections: their callers then know at once that nothing was read. */
  readonly stopAccepting: () => void;
  readonly countCalls: () => number;
  /** @returns answers that have ended, and whose last bytes wait for their callers */
  readonly countUnsentAnswers: () => number;
  readonly stopAllCalls: () => void;
}

/**
 * Runs the shutdown: announces it at once, accepts new calls for a short time, then refuses
 * them as not run and waits until the calls in progress have ended and their answers are sent, or the
 * time limit is near.
 *
 * @param options - steps and limits
 * @returns when the process may exit
 */
export async function runDirectStop(options: DirectStopOptions): Promise<void> {
  const { clock, log, limitMs, requestsOfPeers } = options;
  const countAll = (): number => options.countCalls() + requestsOfPeers.exchangeCount;
  const startedAtMs = clock.nowMs();
  log.write(LogLevel.Info, 'stop_begun', { calls: countAll(), limitMs });
  const endCallsAtMs = startedAtMs + limitMs * END_CALLS_FRACTION;
  const guard = (step: () => void): void => runGuarded(log, step);
  guard(() => options.setCallsEnd(endCallsAtMs));
  guard(options.announceStop);
  guard(() => requestsOfPeers.refuseNewRequests());
  await wait(clock, Math.min(ACCEPT_PERIOD_MS - MAX_SIGNAL_DELAY_MS, limitMs / 2));
  guard(options.refuseNewCalls);
  const refuseUntilMs = clock.nowMs() + REFUSAL_PERIOD_MS;
  const isBusy = (): boolean => countAll() > 0 || options.countUnsentAnswers() > 0;
  while (clock.nowMs() < endCallsAtMs && (isBusy() || clock.nowMs() < refuseUntilMs)) {
    await wait(clock, POLL_INTERVAL_MS);
  }
  const cutCalls = countAll();
  guard(options.stopAllCalls);
  guard(() => requestsOfPeers.endAll());
  guard(options.stopAccepting);
  const sendUntilMs = startedAtMs + limitMs * SEND_ANSWERS_FRACTION;
  do {
    await wait(clock, POLL_INTERVAL_MS);
  } while (options.countUnsentAnswers() > 0 && clock.nowMs() < sendUntilMs);
  log.write(LogLevel.Info, 'stop_ended', {
    cutCalls,
    cutAnswers: options.countUnsentAnswers(),
    tookMs: clock.nowMs() - startedAtMs,
  });
}

function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
