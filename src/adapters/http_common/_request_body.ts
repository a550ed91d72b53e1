/**
 * Bounded reading of a request's body, and bounded discarding of a refused one.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { toSchedulerError } from './error_answer.js';

/** How long a connection whose body was too long stays open for its answer to be read. */
const LINGER_MS = 250;

/**
 * Checks the length that a request announces.
 *
 * @param request - the request
 * @param maxBytes - longest body allowed
 * @throws SchedulerError of kind BodyTooLarge
 */
export function checkAnnouncedLength(request: IncomingMessage, maxBytes: number): void {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) throw refuseLength(maxBytes);
}

/**
 * Reads a request's body.
 *
 * @param request - the request
 * @param maxBytes - longest body allowed
 * @param onBytes - called before each piece is kept; it may throw
 * @returns the body
 * @throws SchedulerError of kind BodyTooLarge, or Cancelled when the caller went midway
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  onBytes: (bytes: number) => void,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const pieces: Buffer[] = [];
    let length = 0;
    const onData = (piece: Buffer): void => {
      length += piece.length;
      try {
        if (length > maxBytes) throw refuseLength(maxBytes);
        onBytes(piece.length);
        pieces.push(piece);
      } catch (error) {
        request.off('data', onData);
        reject(toSchedulerError(error));
      }
    };
    request.on('data', onData);
    request.once('end', () => resolve(Buffer.concat(pieces, length)));
    request.once('close', () => reject(new SchedulerError(ErrorKind.Cancelled)));
  });
}

/**
 * Throws the rest of a refused body away. A connection that is closed while
 * bytes are still arriving is reset by the kernel, and the reset overtakes the
 * answer: the caller would see a broken connection in place of the refusal. So
 * a little is read; who sends more is cut off after a moment.
 *
 * @param request - the refused request
 * @param maxBytes - how much to read at most
 */
export function drainRequestBody(request: IncomingMessage, maxBytes: number): void {
  if (request.complete && request.readableEnded) return;
  let leftBytes = maxBytes;
  request.on('data', (piece: Buffer) => {
    leftBytes -= piece.length;
    if (leftBytes >= 0 || request.isPaused()) return;
    request.pause();
    setTimeout(() => request.socket.destroy(), LINGER_MS).unref();
  });
  request.resume();
}

function refuseLength(maxBytes: number): SchedulerError {
  return new SchedulerError(ErrorKind.BodyTooLarge, {
    message: `Cannot take the body: it is longer than ${maxBytes} bytes`,
  });
}
