/**
 * One piece of work from its arrival to its end, over all its requests.
 *
 * @module
 */
import type { Caller, Ending } from './_caller.js';
import type { Work } from './_work.js';

/** How a piece of work ended. */
export interface Journey {
  readonly work: Work;
  readonly accountId: string;
  /** One for each request ID that the caller used, in order. */
  readonly endings: readonly Ending[];
  /** From arrival to the whole answer, in milliseconds. */
  readonly totalMs: number;
  /** From arrival to the first byte of the answer, in milliseconds. */
  readonly firstByteMs: number;
}

const MAX_REQUESTS_PER_WORK = 4;
/** A caller hears something by then, or the request counts as lost. */
const GRACE_MS = 10_000;

/** Work may be sent again under a new ID where nothing ran, or where running twice does no harm. */
function maySendAgain(work: Work, ending: Ending): boolean {
  if (ending.kind !== 'refused') return false;
  return ending.run === 'not_run' ? ending.retryAfterMs > 0 : work.repeatable;
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/**
 * Sends a piece of work until it is answered or may not be sent again.
 *
 * @param caller - whose work
 * @param work - what to send
 * @returns how it ended
 */
export async function runJourney(caller: Caller, work: Work): Promise<Journey> {
  const startMs = performance.now();
  const giveUp = new AbortController();
  const timer = setTimeout(() => giveUp.abort(), work.deadlineMs + GRACE_MS);
  const endings: Ending[] = [];
  while (endings.length < MAX_REQUESTS_PER_WORK && !giveUp.signal.aborted) {
    const ending = await caller.send(work, giveUp.signal);
    endings.push(ending);
    const isLate = performance.now() - startMs + ending.retryAfterMs > work.deadlineMs;
    if (isLate || !maySendAgain(work, ending)) break;
    await waitFor(ending.retryAfterMs);
  }
  clearTimeout(timer);
  return {
    work,
    accountId: caller.account.id,
    endings,
    totalMs: performance.now() - startMs,
    firstByteMs: (endings.at(-1)?.firstByteAtMs ?? 0) - startMs,
  };
}
