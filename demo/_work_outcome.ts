/**
 * Sends one piece of work with retries, and describes its outcome.
 *
 * @module
 */
import type { Caller, RequestOutcome } from './_caller.js';
import type { Work } from './_work.js';

/** Outcome of a piece of work. */
export interface WorkOutcome {
  readonly work: Work;
  readonly accountId: string;
  /** One outcome for each request ID that the caller used, in order. */
  readonly requestOutcomes: readonly RequestOutcome[];
  /** Time from arrival to the last outcome, in milliseconds. */
  readonly totalMs: number;
  /** Time from arrival to the first byte of the last response, in milliseconds. */
  readonly firstByteMs: number;
}

const MAX_REQUESTS_PER_WORK = 4;
/** Time past the deadline after which a request without a response counts as lost. */
const GRACE_MS = 10_000;

/** Whether work may be retried under a new ID: nothing ran, or the work is repeatable. */
function mayRetry(work: Work, outcome: RequestOutcome): boolean {
  if (outcome.kind !== 'refused') return false;
  return outcome.run === 'not_run' ? outcome.retryAfterMs > 0 : work.repeatable;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/**
 * Sends a piece of work, and retries it until it is answered or may not be retried.
 *
 * @param caller - the caller that sends it
 * @param work - the work to send
 * @returns the outcome
 */
export async function sendWithRetries(caller: Caller, work: Work): Promise<WorkOutcome> {
  const startMs = performance.now();
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), work.deadlineMs + GRACE_MS);
  const requestOutcomes: RequestOutcome[] = [];
  while (requestOutcomes.length < MAX_REQUESTS_PER_WORK && !timeout.signal.aborted) {
    const outcome = await caller.send(work, timeout.signal);
    requestOutcomes.push(outcome);
    const isLate = performance.now() - startMs + outcome.retryAfterMs > work.deadlineMs;
    if (isLate || !mayRetry(work, outcome)) break;
    await sleep(outcome.retryAfterMs);
  }
  clearTimeout(timer);
  return {
    work,
    accountId: caller.account.id,
    requestOutcomes,
    totalMs: performance.now() - startMs,
    firstByteMs: (requestOutcomes.at(-1)?.firstByteAtMs ?? 0) - startMs,
  };
}
