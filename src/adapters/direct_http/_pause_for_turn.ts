/**
 * Spreads the read of an answer over turns of the event loop.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';

/**
 * Reads no more of an answer until the next turn, when callers that take none of theirs are cut off.
 *
 * @param response - the answer
 */
export function pauseForTurn(response: IncomingMessage): void {
  response.pause();
  setImmediate(() => response.resume());
}
