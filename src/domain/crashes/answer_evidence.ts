/**
 * Tells what an answer to a content proves about runs of it that ended with a crash.
 *
 * @module
 */

/**
 * Largest time by which a run may have begun after an answered one and still count as one of the
 * same time, in milliseconds. Times in notes of other entry hosts are late by as much.
 */
const SAME_TIME_MS = 250;

/**
 * An answer proves that its request did no harm when its run began, however late it comes: the
 * content, or the servers, may have changed since.
 *
 * @param runStartedAtMs - when the run that ended with a crash began, in milliseconds
 * @param answeredRunStartedAtMs - when the answered run began, in milliseconds
 * @returns whether the answer proves that the content did not cause the crash
 */
export function isClearedByAnswer(runStartedAtMs: number, answeredRunStartedAtMs: number): boolean {
  return runStartedAtMs <= answeredRunStartedAtMs + SAME_TIME_MS;
}
