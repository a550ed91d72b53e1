/**
 * Bounded polling of real processes.
 *
 * @module
 */

const POLL_INTERVAL_MS = 25;

/** Bounds of a wait. */
export interface WaitOptions {
  /** What is waited for, for the error's message. */
  readonly subject: string;
  /** Longest wait in milliseconds. */
  readonly limitMs: number;
  /** Ends the wait early, with a reason. */
  readonly findFailure?: () => string | undefined;
}

/**
 * Waits until a condition of another process holds.
 *
 * @param check - asked again and again; an error counts as "not yet"
 * @param options - what is waited for, and for how long
 * @throws Error when it doesn't hold in time
 */
export async function waitUntil(
  check: () => Promise<boolean>,
  options: WaitOptions,
): Promise<void> {
  const endMs = performance.now() + options.limitMs;
  while (!(await check().catch(() => false))) {
    const failure = options.findFailure?.();
    if (failure !== undefined) throw new Error(`Cannot see ${options.subject}: ${failure}`);
    if (performance.now() > endMs) {
      throw new Error(`Cannot see ${options.subject} within ${options.limitMs} ms`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}
