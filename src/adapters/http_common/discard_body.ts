/**
 * Discards the bodies of refused requests, up to a limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';

/** Least bytes of a refused body that are read, so that its caller meets the refusal. */
export const MIN_DISCARDED_BYTES = 65_536;

/** Most parts of a too long body that are read. Parts of one byte cost as much as long ones. */
const MAX_DISCARDED_PARTS = 16_384;

/** Time that a connection with a too long body stays open so that its answer can be read. */
const LINGER_MS = 250;

/** Options of {@link discardBody}. */
export interface DiscardOptions {
  /** Most bytes to read. */
  readonly maxBytes: number;
  /** Whether the body may be inside the limits, so that its parts may be of any size. Default: no. */
  readonly mayBeSound?: boolean;
  /**
   * Called when the body goes on beyond the limit. Must stop the input of the connection: a paused
   * request would keep thousands of small parts.
   */
  readonly onExceeded: () => void;
}

/**
 * Discards the rest of a refused body. The kernel resets a connection that is closed while
 * bytes are still arriving, and the reset overtakes the answer: the caller would see a
 * connection error in place of the refusal. So a limited number of bytes is read, and the
 * connection of a caller that sends more is closed after a short time.
 *
 * @param request - the refused request
 * @param options - limit and callback
 */
export function discardBody(request: IncomingMessage, options: DiscardOptions): void {
  if (request.complete && request.readableEnded) return;
  let bytesLeft = options.maxBytes;
  let partsLeft = options.mayBeSound ? Infinity : MAX_DISCARDED_PARTS;
  const countPart = (part: Buffer): void => {
    bytesLeft -= part.length;
    partsLeft -= 1;
    if (bytesLeft >= 0 && partsLeft >= 0) return;
    request.off('data', countPart);
    options.onExceeded();
    setTimeout(() => request.socket.destroy(), LINGER_MS).unref();
  };
  request.on('data', countPart);
  request.resume();
}
