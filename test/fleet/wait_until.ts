/**
 * Polls a condition of another process, with a timeout.
 *
 * @module
 */

const POLL_INTERVAL_MS = 25;

/** Options of a wait. */
export interface WaitOptions {
  /** Name of the condition, for error messages. */
  readonly subject: string;
  /** Timeout in milliseconds. */
  readonly timeoutMs: number;
  /** Returns a reason to end the wait early, or undefined to keep waiting. */
  readonly findFailure?: () => string | undefined;
}

/**
 * Polls a condition until it holds.
 *
 * @param check - returns whether the condition holds; an error counts as false
 * @param options - name of the condition, timeout and early exit
 * @throws Error if the wait times out or ends early
 */
export async function waitUntil(
  check: () => Promise<boolean>,
  options: WaitOptions,
): Promise<void> {
  const deadlineMs = performance.now() + options.timeoutMs;
  while (!(await check().catch(() => false))) {
    const failure = options.findFailure?.();
    if (failure !== undefined) throw new Error(`Waiting for ${options.subject} failed: ${failure}`);
    if (performance.now() > deadlineMs) {
      throw new Error(`Waiting for ${options.subject} timed out after ${options.timeoutMs} ms`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}
