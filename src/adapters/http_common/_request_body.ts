/**
 * Reads request bodies, up to a limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { createCodingError, toSchedulerError } from './error_answer.js';
import { JoinedParts } from './joined_parts.js';
import { isDecoded } from './transfer_coding.js';

/**
 * Checks the `Content-Length` of a request.
 *
 * @param request - the request
 * @param maxBytes - longest allowed body
 * @throws SchedulerError of kind BodyTooLarge
 */
export function checkDeclaredLength(request: IncomingMessage, maxBytes: number): void {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes)
    throw createTooLargeError(maxBytes);
}

/**
 * Checks the transfer codings of a request.
 *
 * @param request - the request
 * @throws SchedulerError of kind MalformedRequest when its body is not decoded
 */
export function checkTransferCoding(request: IncomingMessage): void {
  if (!isDecoded(request.headers['transfer-encoding'])) throw createCodingError();
}

/**
 * Reads a request's body.
 *
 * @param request - the request
 * @param maxBytes - longest allowed body
 * @param onBytes - called before each part is kept; may throw to reject the body
 * @returns the body
 * @throws SchedulerError of kind BodyTooLarge, or Cancelled when the caller disconnects meanwhile
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  onBytes: (bytes: number) => void,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts = new JoinedParts();
    const onData = (part: Buffer): void => {
      try {
        if (parts.length + part.length > maxBytes) throw createTooLargeError(maxBytes);
        onBytes(part.length);
        parts.append(part);
      } catch (error) {
        parts.clear();
        request.off('data', onData);
        reject(toSchedulerError(error));
      }
    };
    request.on('data', onData);
    request.once('end', () => resolve(parts.join()));
    request.once('close', () => reject(new SchedulerError(ErrorKind.Cancelled)));
  });
}

function createTooLargeError(maxBytes: number): SchedulerError {
  return new SchedulerError(ErrorKind.BodyTooLarge, {
    message: `Cannot accept the body: it is longer than ${maxBytes} bytes`,
  });
}
