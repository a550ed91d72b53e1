/**
 * Forecast of when a call that finds no free slot can be served, and the decision that follows: it
 * waits until a stated time, or it is rejected now.
 *
 * @module
 */

/**
 * Time constant with which the demand of more urgent calls is expected to return from the mean of
 * the last second to its longer mean, in milliseconds. Bursts last for some seconds.
 */
const REVERSION_MS = 3_000;

/** Shortest step of the forecast, in milliseconds, and the growth of steps with the time ahead. */
const MIN_STEP_MS = 10;
const STEP_GROWTH = 0.08;

/**
 * Factors by which the time left must exceed the predicted wait. A call that is held and then
 * rejected costs its caller more than one that is rejected at once, so a long wait needs a good
 * chance. A caller that was rejected before has no further attempt to lose.
 */
const FRESH_MARGIN = 1.1;
const LATE_MARGIN = 1.3;
const RETURNING_MARGIN = 1;

/** The same factor for calls that wait already: they are rejected when the outlook is clearly bad. */
const WAITING_MARGIN = 0.8;

/**
 * Part of its predicted hold, and time in milliseconds, that a call needs in addition to the hold:
 * predictions are off by that much.
 */
const HOLD_MARGIN_FRACTION = 0.25;
const HOLD_MARGIN_MS = 150;

const MS_PER_SECOND = 1_000;

/** What stands between a call and a slot. */
export interface SlotForecast {
  /** Calls that are served first and wait now, less the slots that are free now. */
  readonly callsAhead: number;
  /** Slots that become free per second, for calls of any urgency. */
  readonly slotsPerSecond: number;
  /** Slots per second that more urgent calls took in the last second. */
  readonly takenNow: number;
  /** Slots per second that more urgent calls took over the last wave of demand. */
  readonly takenUsually: number;
  /**
   * @param withinMs - time from now, in milliseconds
   * @returns callers that were told to return within it, and that go first
   */
  readonly countReturns: (withinMs: number) => number;
}

/**
 * Predicts the wait for a slot.
 *
 * @param forecast - calls ahead, and the slots that are left for the call
 * @param horizonMs - longest wait of interest, in milliseconds
 * @returns milliseconds; Infinity if the wait exceeds the horizon
 */
export function predictWaitMs(forecast: SlotForecast, horizonMs: number): number {
  const { slotsPerSecond, takenNow, takenUsually, countReturns } = forecast;
  let left = Math.max(0, forecast.callsAhead + 1);
  if (left === 0) return 0;
  let returned = 0;
  let fromMs = 0;
  while (fromMs < horizonMs) {
    const stepMs = Math.min(Math.max(MIN_STEP_MS, fromMs * STEP_GROWTH), horizonMs - fromMs);
    const reverted = 1 - Math.exp(-(fromMs + stepMs / 2) / REVERSION_MS);
    const taken = takenNow + (takenUsually - takenNow) * reverted;
    const returns = countReturns(fromMs + stepMs);
    const slots = Math.max(0, ((slotsPerSecond - taken) * stepMs) / MS_PER_SECOND);
    left += returns - returned;
    if (slots >= left) return fromMs + (stepMs * left) / slots;
    returned = returns;
    left -= slots;
    fromMs += stepMs;
  }
  return Infinity;
}

/**
 * @param timeLeftMs - time left until the call's deadline, in milliseconds
 * @param holdMs - time for which it is expected to hold a slot
 * @returns time left until its latest useful start; 0 or less if that has passed
 */
export function computeAnswerLeftMs(timeLeftMs: number, holdMs: number): number {
  return timeLeftMs - holdMs * (1 + HOLD_MARGIN_FRACTION) - HOLD_MARGIN_MS;
}

/** A call that finds no free slot. */
export interface AdmissionOptions {
  /** Forecast for it as a call that can meet its target; undefined if it can't. */
  readonly fresh?: SlotForecast | undefined;
  /** Forecast for it as a late call. */
  readonly late: SlotForecast;
  /** Time left until the latest start that meets its target, in milliseconds. */
  readonly targetLeftMs: number;
  /** Time left until the latest start after which its answer is complete in time. */
  readonly answerLeftMs: number;
  /** Whether its caller was rejected before. */
  readonly isReturning: boolean;
  /** Whether it waits already. */
  readonly isWaiting: boolean;
  /** Whether it was admitted to wait beyond its target. */
  readonly isWaitingLate: boolean;
}

/**
 * Decides whether a call waits. One that will get its turn, even if late, waits for as long as an
 * answer is of use. One that has only a chance to meet its target waits for that long.
 *
 * @param options - forecasts for the call and its times
 * @returns time for which it may wait, in milliseconds; 0 if it is rejected now
 */
export function computeAdmittedWaitMs(options: AdmissionOptions): number {
  const { fresh, late, targetLeftMs, answerLeftMs, isReturning, isWaiting } = options;
  if (answerLeftMs <= 0) return 0;
  const firstMargin = isReturning ? RETURNING_MARGIN : LATE_MARGIN;
  if (isServedWithin(late, answerLeftMs, options.isWaitingLate ? WAITING_MARGIN : firstMargin))
    return answerLeftMs;
  const targetMs = Math.min(targetLeftMs, answerLeftMs);
  const margin = isWaiting ? WAITING_MARGIN : FRESH_MARGIN;
  return fresh && targetMs > 0 && isServedWithin(fresh, targetMs, margin) ? targetMs : 0;
}

function isServedWithin(forecast: SlotForecast, withinMs: number, margin: number): boolean {
  return predictWaitMs(forecast, withinMs / margin) < Infinity;
}
