/**
 * How long a call may wait for a slot.
 *
 * @module
 */

/** Part of the time left that a call may wait whose aim can't be met any more; chosen, not measured. */
const LATE_WAIT_PART = 0.25;

/** Longest such wait, in milliseconds: a caller that hears nothing should be told to come back. */
const MAX_LATE_WAIT_MS = 1_200;

/** Part of the time left that a call may wait whose content is in doubt; the rest is for its answer. */
const DOUBT_WAIT_PART = 0.75;

/**
 * Part of its aim that a call may wait. The rest is for the backend server to begin its
 * answer: with all slots taken, three in four did so within 0.15 s, of aims of 0.4 s.
 */
export const AIM_WAIT_PART = 0.55;

/** What the wait depends on. */
export interface WaitOptions {
  /** Whether its answer can't be in time any more. */
  readonly isLate: boolean;
  /** Time that the caller still waits, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time to the first byte that callers aim at, in milliseconds. */
  readonly targetMs: number;
}

/**
 * Computes the longest wait: a fresh call may wait while its aim can still be met, a late
 * one for a part of its time.
 *
 * @param options - the call's times
 * @returns milliseconds
 */
export function computeWaitMs({ isLate, timeLeftMs, targetMs }: WaitOptions): number {
  const lateMs = Math.min(MAX_LATE_WAIT_MS, timeLeftMs * LATE_WAIT_PART);
  return isLate ? lateMs : Math.min(lateMs, targetMs * AIM_WAIT_PART);
}

/**
 * Computes the wait of a call that another backend server is to take over.
 *
 * @param timeLeftMs - time that the caller still waits
 * @returns milliseconds
 */
export function computeMoveWaitMs(timeLeftMs: number): number {
  return Math.min(MAX_LATE_WAIT_MS, timeLeftMs / 2);
}

/**
 * Computes the wait of a call whose content is in doubt: no other backend server may take it
 * either, so that coming back sooner would find the same.
 *
 * @param timeLeftMs - time that the caller still waits
 * @returns milliseconds
 */
export function computeDoubtWaitMs(timeLeftMs: number): number {
  return timeLeftMs * DOUBT_WAIT_PART;
}
